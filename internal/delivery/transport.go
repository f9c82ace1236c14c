package delivery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	maxDialDuration        = time.Second
	maxResponseHeaderBytes = 64 << 10
	bufferSize             = 4 << 10 // bytes of each read and write buffer
)

// errCancelled is the error of a write whose attempt was cancelled before its first byte.
var errCancelled = errors.New("delivery: attempt cancelled")

// dialer opens a connection to a worker.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// newDialer returns the dialer of an engine. Each connection asks its attempt for admission before each write.
func newDialer(options Options) dialer {
	timeout := maxDialDuration
	if options.DrainGrace > 0 {
		timeout = min(timeout, options.DrainGrace/2)
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		connection, err := options.Network.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &workerConnection{Conn: connection}, nil
	}
}

// newTransport creates the HTTP/1.1 transport to one worker, without proxies and compression. If idle is 0, each
// connection is closed after its attempt.
func newTransport(dial dialer, connections int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		DisableKeepAlives:      idle == 0,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
}

// workerConnection writes the bytes of an attempt only if the attempt may still start.
type workerConnection struct {
	net.Conn
	attempt atomic.Pointer[attempt] // the attempt that uses the connection
}

// Write implements net.Conn.
func (c *workerConnection) Write(data []byte) (int, error) {
	if user := c.attempt.Load(); user != nil && !user.admitWrite(c) {
		return 0, errCancelled
	}
	return c.Conn.Write(data)
}
