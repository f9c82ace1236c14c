package workerhttp

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"strconv"
	"strings"
)

// eofReader records whether its reader has returned io.EOF.
type eofReader struct {
	io.Reader
	sawEOF bool
}

// Read reads from the underlying reader.
func (e *eofReader) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.sawEOF = e.sawEOF || err == io.EOF
	return n, err
}

// chunkedReader reads a chunked body (RFC 9112, section 7.1). Unlike net/http's reader, it returns the data of one
// chunk before it reads the header of the next. So the last line is available even if the last chunk comes late or
// never.
type chunkedReader struct {
	source    *bufio.Reader
	remaining uint64 // unread bytes of the current chunk
	started   bool   // the first chunk has started
	ended     bool   // the trailer has been read
}

var errMalformedChunk = errors.New("malformed chunk")

// Read reads the data of chunks. It returns io.EOF after the trailer, and io.ErrUnexpectedEOF if the body is truncated.
func (c *chunkedReader) Read(p []byte) (int, error) {
	for c.remaining == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n, err := c.source.Read(p[:min(uint64(len(p)), c.remaining)])
	c.remaining -= uint64(n)
	return n, unexpectedEOF(err)
}

// nextChunk reads up to the first byte of the next chunk's data. It returns io.EOF after the trailer.
func (c *chunkedReader) nextChunk() error {
	if c.ended {
		return io.EOF
	}
	if c.started { // read the line end after the previous chunk
		if end, err := c.readLine(); err != nil || end != "" {
			return cmp.Or(err, errMalformedChunk)
		}
	}
	size, err := c.readLine()
	if err != nil {
		return err
	}
	size, _, _ = strings.Cut(size, ";") // chunk extensions are ignored
	if c.remaining, err = strconv.ParseUint(strings.TrimSpace(size), 16, 63); err != nil {
		return errMalformedChunk
	}
	c.started = true
	if c.remaining > 0 {
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

// readLine reads a line and returns it without its line end.
func (c *chunkedReader) readLine() (string, error) {
	text, err := c.source.ReadSlice('\n')
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return strings.TrimSuffix(string(text[:len(text)-1]), "\r"), nil
}

// unexpectedEOF replaces io.EOF, which must not occur in the middle of a body, with io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
