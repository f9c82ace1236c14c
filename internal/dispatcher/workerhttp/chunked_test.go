package workerhttp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestChunkedReader(t *testing.T) {
	for _, k := range []struct {
		name, text, data string
		err              error // nil: io.EOF behind the data
	}{
		{"one chunk", "3\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"several", "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", "abc", nil},
		{"no data", "0\r\n\r\n", "", nil},
		{"an extension", "3;name=\"v\"\r\nabc\r\n0;last\r\n\r\n", "abc", nil},
		{"a trailer", "3\r\nabc\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n", "abc", nil},
		{"bare line feeds", "3\nabc\n0\n\n", "abc", nil},
		{"a size that is no number", "nine\r\nabc\r\n", "", errChunk},
		{"no end behind a chunk", "3\r\nabcd\r\n", "abc", errChunk},
		{"cut in the size", "3", "", io.ErrUnexpectedEOF},
		{"cut in the data", "3\r\nab", "ab", io.ErrUnexpectedEOF},
		{"cut before the last chunk", "3\r\nabc\r\n", "abc", io.ErrUnexpectedEOF},
		{"cut in the trailer", "3\r\nabc\r\n0\r\nX-A", "abc", io.ErrUnexpectedEOF},
	} {
		r := &endReader{Reader: &chunkedReader{from: bufio.NewReader(strings.NewReader(k.text))}}
		data, err := io.ReadAll(r)
		if string(data) != k.data || !errors.Is(err, k.err) || r.ended != (k.err == nil) {
			t.Errorf("%s: %q, %v, ended %v", k.name, data, err, r.ended)
		}
	}
}

// What has come of a chunk is given before the reader waits for the next.
func TestChunkedReaderDoesNotWaitForTheNextChunk(t *testing.T) {
	from, to := io.Pipe()
	go io.WriteString(to, "3\r\nabc\r\n") // and nothing more
	data := make([]byte, 10)
	n, err := (&chunkedReader{from: bufio.NewReader(from)}).Read(data)
	if err != nil || string(data[:n]) != "abc" {
		t.Errorf("%q, %v", data[:n], err)
	}
}
