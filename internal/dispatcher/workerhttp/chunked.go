package workerhttp

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"strconv"
	"strings"
)

// endReader notes whether its reader has come to the end.
type endReader struct {
	io.Reader
	ended bool
}

// Read reads from the reader within.
func (e *endReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.ended = e.ended || err == io.EOF
	return n, err
}

// chunkedReader reads a body in chunks (RFC 9112, section 7.1). Unlike net/http's reader it gives what has come of one
// chunk before it looks for the next: a last line is not held back by an end that is late, or never comes.
type chunkedReader struct {
	from  *bufio.Reader
	left  uint64 // bytes of the present chunk
	begun bool   // the first chunk has begun
	ended bool   // the trailer is read
}

var errChunk = errors.New("a chunk cannot be read")

// Read reads the data of chunks. It returns io.EOF behind the trailer, io.ErrUnexpectedEOF where the body breaks off.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.left == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.from.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads up to the next chunk's first byte, or to the end of them all.
func (c *chunkedReader) nextChunk() error {
	if c.ended {
		return io.EOF
	}
	if c.begun { // the end of the chunk before
		if end, err := c.readLine(); err != nil || end != "" {
			return cmp.Or(err, errChunk)
		}
	}
	size, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ = strings.Cut(size, ";") // extensions are passed over
	if c.left, err = strconv.ParseUint(strings.TrimSpace(size), 16, 63); err != nil {
		return errChunk
	}
	c.begun = true
	if c.left > 0 {
		return nil
	}
	for trailer := " "; trailer != ""; {
		if trailer, err = c.readLine(); err != nil {
			return err
		}
	}
	c.ended = true
	return io.EOF
}

// readLine reads a line without its end.
func (c *chunkedReader) readLine() (string, error) {
	text, err := c.from.ReadSlice('\n')
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return strings.TrimSuffix(string(text[:len(text)-1]), "\r"), nil
}

// unexpectedEOF turns an end in the middle of a body into an error.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
