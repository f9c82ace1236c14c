package workerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// readerBytes is the size of a connection's read buffer in bytes.
const readerBytes = 4 << 10

var errAnswerTooLarge = errors.New("the answer exceeds the size limit")

// lastChunk ends a chunked body that has no trailer (RFC 9112, section 7.1).
var lastChunk = []byte("0\r\n\r\n")

// conn is one connection to a worker. It is either idle in the pool or used by one attempt.
type conn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	budget int // bytes that may still be read for the present answer

	// Set when the connection is released to the pool.
	idleSince        time.Time
	quarantinedUntil time.Time
	idleTimer        *time.Timer // closes the connection after WorkerIdleTimeout

	closeOnce sync.Once
}

func newConn(socket net.Conn, p *pool) *conn {
	c := &conn{Conn: socket, pool: p}
	c.reader = bufio.NewReaderSize(c, readerBytes)
	return c
}

// Read reads from the socket. It returns errAnswerTooLarge once the present answer, including its head, exceeds the
// budget.
func (c *conn) Read(p []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.budget)])
	c.budget -= n
	return n, err
}

// Close closes the connection and releases its slot in the pool. Only the first call has an effect.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.Conn.Close()
		c.pool.releaseSlot()
	})
	return nil
}

// hasBuffered reports whether the rest of a body is in the read buffer. A length of -1 means a chunked body; otherwise
// the body has length bytes, of which none has been read.
func (c *conn) hasBuffered(length int64) bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if length >= 0 {
		return int64(len(buffered)) >= length
	}
	return bytes.HasSuffix(buffered, lastChunk)
}

// isReusable reports whether an idle connection is open and has nothing to read. It peeks into the socket's receive
// queue to detect a close by the worker before a request is written.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return empty && err == nil
}

// discard reads and drops what follows the last line of an answer, up to TrailingTimeout and TrailingBytes. It reports
// whether the connection can carry another request.
func (c *conn) discard(rest io.Reader) bool {
	limits := &c.pool.limits
	c.SetDeadline(time.Now().Add(limits.TrailingTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(rest, int64(limits.TrailingBytes)+1))
	return err == nil && n <= int64(limits.TrailingBytes)
}
