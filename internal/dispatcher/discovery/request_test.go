package discovery_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/golden"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/testenv"
)

// written records what is written to a connection.
type written struct {
	net.Conn
	mu   *sync.Mutex // guards text
	text *bytes.Buffer
}

func (w written) Write(p []byte) (int, error) {
	w.mu.Lock()
	w.text.Write(p)
	w.mu.Unlock()
	return w.Conn.Write(p)
}

// testdata/watch.txt holds the calls of a watch, byte for byte, and what the answers to them come to.
func TestCallsAndListsOfAWatch(t *testing.T) {
	node := testenv.Node(t, nil, "")
	synctest.Test(t, func(t *testing.T) {
		var network testenv.Network
		var mu sync.Mutex
		var text bytes.Buffer
		note := func(format string, v ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(&text, format+"\n", v...)
		}
		watch := discovery.New(node)
		watch.OnList = func(kind decision.ListKind, workers []config.Worker) { note("-> list of kind %d: %v", kind, workers) }
		watch.Dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			note("== a call to %s ==", address)
			conn, err := network.Dial(ctx, address)
			return written{conn, &mu, &text}, err
		}
		entry := `{"instanceId":"s-00000001","hostPort":"127.0.1.1:5000","zone":"montreal","machineType":"std-2c","cell":1,"lifecycle":"ready","weight":1,"startedAtMs":5}`
		serve := func(address, answer string) net.Listener {
			l := network.Listen(address)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						conn.Read(make([]byte, 4096))
						io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+answer)
						time.Sleep(time.Second)
						conn.Close()
					}()
				}
			}()
			return l
		}
		first := serve("127.0.0.1:8500", `{"generation":9,"reset":true,"instances":[`+entry+`]}`+"\n\n"+
			`{"generation":10,"reset":false,"instances":[{"instanceId":"s-00000001","lifecycle":"draining"}]}`+"\n"+
			`{"generation":8,"reset":false,"instances":[`+entry+`]}`+"\n"+
			`{"generation":11,"reset":false,"instances":[{"instanceId":7},`+entry+`,{"instanceId":"s-00000002","cell":"x"}]}`+"\n")
		second := serve("127.0.0.1:8501", `{"generation":3,"reset":true,"instances":[`+entry+`,{"instanceId":"s-0`)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan bool)
		go func() { watch.Run(ctx); close(done) }()
		watch.Watch(true)
		time.Sleep(500 * time.Millisecond)
		watch.SetAddress("127.0.0.1:8501")
		time.Sleep(600 * time.Millisecond)
		cancel()
		<-done
		first.Close()
		second.Close()
		time.Sleep(time.Minute)
		golden.AssertBytes(t, text.Bytes(), "watch.txt")
	})
}
