// Reading a chunked body that ends where its last chunk does.

package workerhttp

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"strconv"
	"strings"
)

// ending notes whether its reader has come to the end.
type ending struct {
	io.Reader
	over bool
}

func (e *ending) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.over = e.over || err == io.EOF
	return n, err
}

// chunks reads a body in chunks. Unlike the library's reader it gives what has come of one chunk before it looks for the
// next: a last line is not held back by an end that is late, or never comes.
type chunks struct {
	from        *bufio.Reader
	left        uint64
	begun, over bool
}

var errChunk = errors.New("a chunk cannot be read")

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n, err := c.from.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	return n, broken(err)
}

// next reads up to the next chunk's first byte, or to the end of them all.
func (c *chunks) next() error {
	if c.over {
		return io.EOF
	}
	if c.begun { // the end of the chunk before
		if end, err := c.line(); err != nil || end != "" {
			return cmp.Or(err, errChunk)
		}
	}
	size, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ = strings.Cut(size, ";")
	if c.left, err = strconv.ParseUint(strings.TrimSpace(size), 16, 63); err != nil {
		return errChunk
	}
	c.begun = true
	for trailer := " "; c.left == 0 && trailer != ""; {
		if trailer, err = c.line(); err != nil {
			return err
		}
	}
	if c.over = c.left == 0; c.over {
		return io.EOF
	}
	return nil
}

func (c *chunks) line() (string, error) {
	text, err := c.from.ReadSlice('\n')
	if err != nil {
		return "", broken(err)
	}
	return strings.TrimSuffix(string(text[:len(text)-1]), "\r"), nil
}

// broken words an end in the middle.
func broken(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
