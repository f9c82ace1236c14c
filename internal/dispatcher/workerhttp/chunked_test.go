package workerhttp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestChunkedReaderDataAndErrors(t *testing.T) {
	for _, tc := range []struct {
		name, text, data string
		err              error // nil means io.EOF after the data
	}{
		{"one chunk", "3\r\nabc\r\n0\r\n\r\n", "abc", nil},
		{"several", "1\r\na\r\n2\r\nbc\r\n0\r\n\r\n", "abc", nil},
		{"no data", "0\r\n\r\n", "", nil},
		{"an extension", "3;name=\"v\"\r\nabc\r\n0;last\r\n\r\n", "abc", nil},
		{"a trailer", "3\r\nabc\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n", "abc", nil},
		{"bare line feeds", "3\nabc\n0\n\n", "abc", nil},
		{"a size that is not a number", "nine\r\nabc\r\n", "", errMalformedChunk},
		{"no line end after a chunk", "3\r\nabcd\r\n", "abc", errMalformedChunk},
		{"truncated in the size", "3", "", io.ErrUnexpectedEOF},
		{"truncated in the data", "3\r\nab", "ab", io.ErrUnexpectedEOF},
		{"truncated before the last chunk", "3\r\nabc\r\n", "abc", io.ErrUnexpectedEOF},
		{"truncated in the trailer", "3\r\nabc\r\n0\r\nX-A", "abc", io.ErrUnexpectedEOF},
	} {
		r := &eofReader{Reader: &chunkedReader{source: bufio.NewReader(strings.NewReader(tc.text))}}
		data, err := io.ReadAll(r)
		if string(data) != tc.data || !errors.Is(err, tc.err) || r.sawEOF != (tc.err == nil) {
			t.Errorf("%s: data %q, error %v, EOF seen %v", tc.name, data, err, r.sawEOF)
		}
	}
}

// The reader must return the data of one chunk before it waits for the next, which may never arrive.
func TestChunkedReaderDoesNotWaitForTheNextChunk(t *testing.T) {
	source, sink := io.Pipe()
	go io.WriteString(sink, "3\r\nabc\r\n") // no further chunk follows
	data := make([]byte, 10)
	n, err := (&chunkedReader{source: bufio.NewReader(source)}).Read(data)
	if err != nil || string(data[:n]) != "abc" {
		t.Errorf("read %q, error %v; want \"abc\" and no error", data[:n], err)
	}
}
