package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"gladepick/internal/network"
	"gladepick/internal/network/simulated"
)

const (
	clientIP      = "10.0.0.1"
	serverIP      = "10.0.0.2"
	serverAddress = serverIP + ":7000"
)

type number struct {
	Value int `json:"value"`
}

// fixture is a server and a client on a simulated network.
type fixture struct {
	network *simulated.Network
	server  *Server
	client  *Client
}

// withFixture starts a server and a client in a synctest bubble, calls body, and stops them.
func withFixture(t *testing.T, body func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{network: simulated.New(1)}
		f.startServer(t)
		f.client = NewClient(f.network.Host(clientIP), serverAddress)
		defer f.client.Close()
		defer func() { f.server.Close() }()
		body(t, f)
	})
}

// startServer starts a server with the methods that the tests call.
func (f *fixture) startServer(t *testing.T) {
	t.Helper()
	f.server = NewServer(zap.NewNop())
	f.server.Handle("double", double)
	f.server.Handle("echo", func(_ context.Context, call *Call) (any, []byte, error) { return nil, call.Body, nil })
	f.server.Handle("sleep", sleep)
	f.server.Handle("hang", func(ctx context.Context, _ *Call) (any, []byte, error) {
		<-ctx.Done()
		return nil, nil, ctx.Err()
	})
	listener, err := f.network.Host(serverIP).Listen(serverAddress)
	assert.NilError(t, err)
	server := f.server
	go func() { _ = server.Serve(listener) }()
}

func double(_ context.Context, call *Call) (any, []byte, error) {
	var given number
	if err := call.Decode(&given); err != nil {
		return nil, nil, err
	}
	return number{Value: 2 * given.Value}, nil, nil
}

// sleep responds after the given number of milliseconds.
func sleep(_ context.Context, call *Call) (any, []byte, error) {
	var given number
	if err := call.Decode(&given); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Duration(given.Value) * time.Millisecond)
	return given, nil, nil
}

func (f *fixture) assertCallSucceeds(t *testing.T) {
	t.Helper()
	var result number
	_, err := f.client.Call(t.Context(), "double", number{Value: 21}, nil, &result)
	assert.NilError(t, err)
	assert.Equal(t, result.Value, 42)
}

func TestCallsAreMultiplexed(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		const calls = 300
		started := time.Now()
		var wg sync.WaitGroup
		for i := range calls {
			wg.Go(func() {
				var result number
				_, err := f.client.Call(t.Context(), "sleep", number{Value: calls - i}, nil, &result)
				assert.Check(t, err)
				assert.Check(t, result.Value == calls-i)
			})
		}
		wg.Wait()
		elapsed := time.Since(started)
		assert.Assert(t, elapsed < 2*calls*time.Millisecond, "took %v", elapsed)
		f.server.mutex.Lock()
		defer f.server.mutex.Unlock()
		assert.Equal(t, len(f.server.connections), 1)
	})
}

func TestBodyOfAnySizeIsUnchanged(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		for _, size := range []int{0, 1, maxCopiedBodyBytes, maxCopiedBodyBytes + 1, bodyChunkBytes, bodyChunkBytes + 1, 3 << 20} {
			body := bytes.Repeat([]byte("line\n"), size/5+1)[:size]
			answered, err := f.client.Call(t.Context(), "echo", nil, body, nil)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(answered, body), "size %d", size)
		}
	})
}

func TestBodiesOfConcurrentCallsAreNotMixed(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				body := bytes.Repeat([]byte{byte(i)}, i*1500)
				answered, err := f.client.Call(t.Context(), "echo", nil, body, nil)
				assert.Check(t, err)
				assert.Check(t, bytes.Equal(answered, body))
			})
		}
		wg.Wait()
	})
}

func TestLongLineIsUnchanged(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.server.Handle("repeat", func(_ context.Context, call *Call) (any, []byte, error) {
			var text string
			err := call.Decode(&text)
			return text, nil, err
		})
		text := strings.Repeat("long ", 100_000)
		var result string
		_, err := f.client.Call(t.Context(), "repeat", text, nil, &result)
		assert.NilError(t, err)
		assert.Equal(t, result, text)
	})
}

func TestRemoteErrorKeepsItsCode(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.server.Handle("moved", func(context.Context, *Call) (any, []byte, error) {
			return nil, nil, trace.Wrap(&Error{Code: CodeNotLeader, Message: "ask c2"})
		})
		f.server.Handle("broken", func(context.Context, *Call) (any, []byte, error) {
			return nil, []byte("ignored"), errors.New("disk is full")
		})
		f.server.Handle("unencodable", func(context.Context, *Call) (any, []byte, error) {
			return func() {}, nil, nil
		})
		for method, code := range map[string]Code{
			"moved": CodeNotLeader, "broken": CodeInternal, "unencodable": CodeInternal, "absent": CodeUnknownMethod,
		} {
			body, err := f.client.Call(t.Context(), method, nil, nil, nil)
			assert.Equal(t, CodeOf(err), code, "%s: %v", method, err)
			assert.Equal(t, len(body), 0)
		}
		_, err := f.client.Call(t.Context(), "moved", nil, nil, nil)
		assert.Error(t, err, "not_leader: ask c2")
		_, err = f.client.Call(t.Context(), "double", "a string", nil, nil)
		assert.Equal(t, CodeOf(err), CodeInvalid)
		_, err = f.client.Call(t.Context(), "double", func() {}, nil, nil)
		assert.Equal(t, CodeOf(err), CodeInvalid)
		f.assertCallSucceeds(t)
	})
}

func TestUnreadableResultCountsAsLost(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		var result []string
		_, err := f.client.Call(t.Context(), "double", number{Value: 1}, nil, &result)
		assert.ErrorIs(t, err, ErrResponseLost)
	})
}

func TestOversizedBodyIsRejected(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		_, err := f.client.Call(t.Context(), "echo", nil, make([]byte, maxBodyBytes+1), nil)
		assert.Equal(t, CodeOf(err), CodeInvalid)
		f.assertCallSucceeds(t)
	})
}

func TestCloseFailsCalls(t *testing.T) {
	for name, closeEnd := range map[string]func(f *fixture){
		"client": func(f *fixture) { f.client.Close() },
		"server": func(f *fixture) { f.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				time.AfterFunc(time.Second, func() { closeEnd(f) })
				_, err := f.client.Call(t.Context(), "hang", nil, nil, nil)
				assert.ErrorIs(t, err, ErrResponseLost)
				_, err = f.client.Call(t.Context(), "double", number{}, nil, nil)
				assert.ErrorIs(t, err, ErrNotSent)
			})
		})
	}
}

func TestCloseFailsDial(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		f.network.Isolate(clientIP, serverIP)
		started := time.Now()
		time.AfterFunc(100*time.Millisecond, f.client.Close)
		_, err := f.client.Call(t.Context(), "double", number{}, nil, nil)
		assert.ErrorIs(t, err, ErrNotSent)
		assert.Equal(t, time.Since(started), 100*time.Millisecond)
	})
}

func TestServeReturnsNilAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(zap.NewNop())
		host := simulated.New(1).Host(serverIP)
		listener, err := host.Listen(serverAddress)
		assert.NilError(t, err)
		time.AfterFunc(time.Second, server.Close)
		assert.NilError(t, server.Serve(listener))
		listener, err = host.Listen(serverAddress)
		assert.NilError(t, err)
		assert.NilError(t, server.Serve(listener))
	})
}

func TestPoolReusesAndClosesClients(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		pool := NewPool(f.network.Host(clientIP))
		client := pool.Get(serverAddress)
		assert.Assert(t, client == pool.Get(serverAddress))
		assert.Assert(t, client != pool.Get(clientIP+":7000"))
		_, err := client.Call(t.Context(), "double", number{}, nil, nil)
		assert.NilError(t, err)
		pool.Close()
		for _, address := range []string{serverAddress, "10.0.0.3:7000"} {
			_, err = pool.Get(address).Call(t.Context(), "double", number{}, nil, nil)
			assert.ErrorIs(t, err, ErrNotSent)
		}
	})
}

func TestCallsOverTCP(t *testing.T) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(zap.NewNop())
	server.Handle("echo", func(_ context.Context, call *Call) (any, []byte, error) {
		return call.Params, call.Body, nil
	})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := NewClient(network.TCP{}, listener.Addr().String())

	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			body := []byte(strings.Repeat(fmt.Sprint(i), i*2000))
			var result number
			answered, err := client.Call(t.Context(), "echo", number{Value: i}, body, &result)
			assert.Check(t, err)
			assert.Check(t, result.Value == i)
			assert.Check(t, bytes.Equal(answered, body))
		})
	}
	wg.Wait()
	client.Close()
	server.Close()
	assert.NilError(t, <-served)
	_, err = NewClient(network.TCP{}, listener.Addr().String()).Call(t.Context(), "echo", nil, nil, nil)
	assert.ErrorIs(t, err, ErrNotSent)
}
