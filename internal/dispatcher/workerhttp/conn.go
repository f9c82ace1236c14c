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

// readerBytes is the size of a connection's read buffer.
const readerBytes = 4 << 10

var errAnswerTooLarge = errors.New("the answer is larger than the limits allow")

// lastChunk is how a body in chunks ends where it has no trailer (RFC 9112, section 7.1).
var lastChunk = []byte("0\r\n\r\n")

// conn is one connection to a worker. It is either idle, in the pool, or of one attempt.
type conn struct {
	net.Conn
	pool   *pool
	reader *bufio.Reader
	left   int // bytes that the present answer may still take

	// Set before the connection comes into the pool.
	idleSince        time.Time
	quarantinedUntil time.Time
	idleTimer        *time.Timer // closes it

	closeOnce sync.Once
}

func newConn(socket net.Conn, p *pool) *conn {
	c := &conn{Conn: socket, pool: p}
	c.reader = bufio.NewReaderSize(c, readerBytes)
	return c
}

// Read bounds what one answer may take, its head included.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errAnswerTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// Close closes the connection and gives its place in the pool back, once.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.Conn.Close()
		c.pool.free()
	})
	return nil
}

// hasBuffered returns whether the rest of a body has come: of one in chunks where length is -1, else of one that was not
// read from yet.
func (c *conn) hasBuffered(length int64) bool {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if length >= 0 {
		return int64(len(buffered)) >= length
	}
	return bytes.HasSuffix(buffered, lastChunk)
}

// isQuiet returns whether an idle connection is open with nothing to read: a look into the socket's queue, so that a
// close that has arrived is seen before anything is written.
func (c *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return quiet && err == nil
}

// discard reads what follows the last line of an answer, within limits of time and size. It returns whether the
// connection can carry another request.
func (c *conn) discard(rest io.Reader) bool {
	limits := &c.pool.limits
	c.SetDeadline(time.Now().Add(limits.TrailingTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(rest, int64(limits.TrailingBytes)+1))
	return err == nil && n <= int64(limits.TrailingBytes)
}
