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

// recordingConn records what is written to a connection.
type recordingConn struct {
	net.Conn
	mu   *sync.Mutex // guards text
	text *bytes.Buffer
}

func (c recordingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.text.Write(p)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// testdata/watch.txt holds the requests of a watch, byte for byte, and the lists that result from the responses.
// The responses include an outdated version, unreadable entries, a truncated list and a change of the address.
func TestWatchRequestsAndResultingLists(t *testing.T) {
	node := testenv.Node(t, nil, "")
	synctest.Test(t, func(t *testing.T) {
		var network testenv.Network
		var mu sync.Mutex
		var text bytes.Buffer
		record := func(format string, v ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(&text, format+"\n", v...)
		}
		watcher := discovery.New(node)
		watcher.OnList = func(kind decision.ListKind, workers []config.Worker) { record("-> list of kind %d: %v", kind, workers) }
		watcher.Dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			record("== a call to %s ==", address)
			conn, err := network.Dial(ctx, address)
			return recordingConn{conn, &mu, &text}, err
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
		go func() { watcher.Run(ctx); close(done) }()
		watcher.Watch(true)
		time.Sleep(500 * time.Millisecond)
		watcher.SetAddress("127.0.0.1:8501")
		time.Sleep(600 * time.Millisecond)
		cancel()
		<-done
		first.Close()
		second.Close()
		time.Sleep(time.Minute)
		golden.AssertBytes(t, text.Bytes(), "watch.txt")
	})
}
