package simulated

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
	portB = hostB + ":7000"
)

// connect opens a connection from host A to host B and returns both ends.
func connect(t *testing.T, network *Network) (client, server net.Conn) {
	t.Helper()
	listener, err := network.Host(hostB).Listen(portB)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err = network.Host(hostA).Dial(t.Context(), portB)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

func readString(t *testing.T, connection net.Conn, length int) string {
	t.Helper()
	buffer := make([]byte, length)
	_, err := io.ReadFull(connection, buffer)
	assert.NilError(t, err)
	return string(buffer)
}

func writeString(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(connection, text)
	assert.NilError(t, err)
}

func readByte(connection net.Conn) error {
	_, err := connection.Read(make([]byte, 1))
	return err
}

func TestBytesArriveAfterLinkDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(1)
		network.SetDelay(hostA, hostB, 40*time.Millisecond)
		started := time.Now()
		client, server := connect(t, network)
		opened := time.Since(started)
		assert.Assert(t, opened >= 80*time.Millisecond && opened < 88*time.Millisecond, "took %v", opened)

		sent := time.Now()
		writeString(t, client, "hello")
		assert.Equal(t, readString(t, server, 5), "hello")
		travelled := time.Since(sent)
		assert.Assert(t, travelled >= 40*time.Millisecond && travelled < 44*time.Millisecond, "took %v", travelled)
	})
}

func TestBytesArriveInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(2))
		want := ""
		for i := range 200 {
			text := fmt.Sprintf("%03d", i)
			want += text
			writeString(t, client, text)
		}
		assert.Equal(t, readString(t, server, len(want)), want)
	})
}

func TestWriteToClosedPeerIsReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(3))
		writeString(t, client, "bye")
		assert.NilError(t, client.Close())
		assert.Equal(t, readString(t, server, 3), "bye")
		assert.Equal(t, readByte(server), io.EOF)
		assert.Assert(t, errors.Is(readByte(client), net.ErrClosed))

		writeString(t, server, "too late")
		time.Sleep(10 * time.Millisecond)
		_, err := io.WriteString(server, "x")
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
	})
}

func TestCloseWriteLeavesReadingOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(4))
		assert.NilError(t, client.(*connection).CloseWrite())
		assert.Equal(t, readByte(server), io.EOF)
		writeString(t, server, "answer")
		assert.Equal(t, readString(t, client, 6), "answer")
	})
}

func TestFullWindowBlocksWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(5))
		assert.NilError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
		count, err := client.Write(make([]byte, 3*windowBytes))
		assert.Equal(t, count, windowBytes)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "got %v", err)

		assert.NilError(t, client.SetWriteDeadline(time.Time{}))
		go func() { _, _ = io.Copy(io.Discard, server) }()
		count, err = client.Write(make([]byte, 3*windowBytes))
		assert.NilError(t, err)
		assert.Equal(t, count, 3*windowBytes)
	})
}

func TestReadFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := connect(t, New(6))
		started := time.Now()
		assert.NilError(t, client.SetReadDeadline(started.Add(time.Second)))
		err := readByte(client)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "got %v", err)
		assert.Equal(t, time.Since(started), time.Second)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout())
	})
}

func TestIsolatedLinkHoldsBytesUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(7)
		client, server := connect(t, network)
		network.IsolateOneWay(hostA, hostB)
		writeString(t, client, "held")
		writeString(t, server, "passes")
		assert.Equal(t, readString(t, client, 6), "passes")
		assert.NilError(t, server.SetReadDeadline(time.Now().Add(time.Minute)))
		assert.Assert(t, errors.Is(readByte(server), os.ErrDeadlineExceeded))

		assert.NilError(t, server.SetReadDeadline(time.Time{}))
		network.Heal(hostA, hostB)
		assert.Equal(t, readString(t, server, 4), "held")
	})
}

func TestDialHangsOverIsolatedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(8)
		network.Isolate(hostA, hostB)
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := network.Host(hostA).Dial(ctx, portB)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "got %v", err)
		assert.Equal(t, time.Since(started), 3*time.Second)
	})
}

func TestAbortedDialResetsAcceptedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(8)
		listener, err := network.Host(hostB).Listen(portB)
		assert.NilError(t, err)
		network.IsolateOneWay(hostB, hostA)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = network.Host(hostA).Dial(ctx, portB)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "got %v", err)
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		assert.Assert(t, errors.Is(readByte(accepted), syscall.ECONNRESET))
		assert.NilError(t, listener.Close())
	})
}

func TestKillResetsConnectionsAndRefusesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(9)
		killed := network.Host(hostB)
		listener, err := killed.Listen(portB)
		assert.NilError(t, err)
		client, err := network.Host(hostA).Dial(t.Context(), portB)
		assert.NilError(t, err)
		network.Kill(hostB)

		_, err = listener.Accept()
		assert.Assert(t, errors.Is(err, net.ErrClosed), "got %v", err)
		err = readByte(client)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
		_, err = network.Host(hostA).Dial(t.Context(), portB)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
		_, err = killed.Dial(t.Context(), hostA+":1")
		assert.Assert(t, errors.Is(err, syscall.ENETDOWN), "got %v", err)

		again, err := killed.Listen(portB)
		assert.NilError(t, err)
		client, err = network.Host(hostA).Dial(t.Context(), portB)
		assert.NilError(t, err)
		assert.NilError(t, client.Close())
		assert.NilError(t, again.Close())
	})
}

// TestResetsAreReproducible checks that ResetConnections resets the same connections in each run with the same seed.
func TestResetsAreReproducible(t *testing.T) {
	const connections, runs = 30, 10
	runOnce := func() (reset [connections]bool) {
		synctest.Test(t, func(t *testing.T) {
			network := New(7)
			listener, err := network.Host(hostB).Listen(portB)
			assert.NilError(t, err)
			defer listener.Close()
			var clients [connections]net.Conn
			for i := range clients {
				clients[i], err = network.Host(hostA).Dial(t.Context(), portB)
				assert.NilError(t, err)
				defer clients[i].Close()
			}
			network.ResetConnections(hostA, 0.5)
			for i, client := range clients {
				_, err := client.Write([]byte("x"))
				reset[i] = err != nil
			}
		})
		return reset
	}
	first := runOnce()
	for range runs {
		assert.Equal(t, runOnce(), first)
	}
}

func TestPowerOffIsSilentUntilPowerOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(10)
		client, server := connect(t, network)
		network.PowerOff(hostB)
		writeString(t, client, "into the void")
		writeString(t, server, "never sent")
		assert.NilError(t, client.SetReadDeadline(time.Now().Add(time.Minute)))
		assert.Assert(t, errors.Is(readByte(client), os.ErrDeadlineExceeded))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := network.Host(hostA).Dial(ctx, portB)
		assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "got %v", err)

		assert.NilError(t, client.SetReadDeadline(time.Time{}))
		network.PowerOn(hostB)
		assert.Assert(t, errors.Is(readByte(client), syscall.ECONNRESET))
		assert.Assert(t, errors.Is(readByte(server), syscall.ECONNRESET))
		_, err = network.Host(hostA).Dial(t.Context(), portB)
		assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
	})
}

func TestPowerOnResetsConnectionsClosedWhileOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(11)
		client, server := connect(t, network)
		network.PowerOff(hostB)
		assert.NilError(t, server.Close())
		network.PowerOn(hostB)
		assert.Assert(t, errors.Is(readByte(client), syscall.ECONNRESET))
	})
}

func TestListenRejectsUnavailableAddress(t *testing.T) {
	network := New(12)
	host := network.Host(hostA)
	_, err := host.Listen(portB)
	assert.Assert(t, errors.Is(err, syscall.EADDRNOTAVAIL), "got %v", err)
	listener, err := host.Listen(hostA + ":0")
	assert.NilError(t, err)
	_, err = host.Listen(listener.Addr().String())
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "got %v", err)
	assert.NilError(t, listener.Close())
	_, err = host.Listen(listener.Addr().String())
	assert.NilError(t, err)
}

func TestHTTPOverSimulatedNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := New(13)
		listener, err := network.Host(hostB).Listen(portB)
		assert.NilError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(w, r.Body)
		})}
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(listener) })

		host := network.Host(hostA)
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return host.Dial(ctx, address)
		}}
		client := &http.Client{Transport: transport, Timeout: 5 * time.Second}
		for range 3 {
			assert.Equal(t, post(t, client, "ping"), "ping")
		}
		network.Isolate(hostA, hostB)
		_, err = client.Get("http://" + portB)
		var timeout net.Error
		assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "got %v", err)
		network.Heal(hostA, hostB)
		assert.Equal(t, post(t, client, "again"), "again")

		transport.CloseIdleConnections()
		assert.NilError(t, server.Shutdown(t.Context()))
		serving.Wait()
	})
}

func post(t *testing.T, client *http.Client, text string) string {
	t.Helper()
	reader, writer := io.Pipe()
	go func() {
		_, _ = io.WriteString(writer, text)
		_ = writer.Close()
	}()
	response, err := client.Post("http://"+portB, "text/plain", reader)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}
