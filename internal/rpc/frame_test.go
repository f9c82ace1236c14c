package rpc

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

func TestFrameReaderReadsLinesAndBodies(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	stream := "short\nbody\n\n" + long + "\nrest"
	reader := newFrameReader(iotest.OneByteReader(strings.NewReader(stream)))
	assertLine(t, reader, "short\n")
	body, err := reader.readBody(5)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body\n")
	assertLine(t, reader, "\n")
	assertLine(t, reader, long+"\n")
	_, err = reader.readLine()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestFrameReaderDistinguishesEndFromTruncation(t *testing.T) {
	_, err := newFrameReader(strings.NewReader("")).readLine()
	assert.Equal(t, err, io.EOF)
	_, err = newFrameReader(strings.NewReader("abc")).readBody(4)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = newFrameReader(strings.NewReader("")).readBody(4)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = newFrameReader(strings.NewReader("abc")).readBody(bodyChunkBytes + 1)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestFrameReaderRejectsOversizedFrames(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), strings.NewReader("\n"))
	_, err := newFrameReader(endless).readLine()
	assert.Equal(t, err, errLineTooLong)
	_, err = newFrameReader(strings.NewReader("")).readBody(maxBodyBytes + 1)
	assert.Equal(t, err, errBodyTooLong)
	_, err = newFrameReader(strings.NewReader("")).readBody(-1)
	assert.Equal(t, err, errNegativeBodyLength)
}

func TestOversizedLineIsNotEncoded(t *testing.T) {
	line, err := encodeLine(strings.Repeat("x", maxLineBytes-3))
	assert.NilError(t, err)
	assert.Equal(t, len(line), maxLineBytes)
	_, err = encodeLine(strings.Repeat("x", maxLineBytes-2))
	assert.Equal(t, err, errLineTooLong)
}

func assertLine(t *testing.T, reader *frameReader, want string) {
	t.Helper()
	line, err := reader.readLine()
	assert.NilError(t, err)
	assert.Equal(t, string(line), want)
}

// FuzzFrameReader reads a stream as a server does. The lines and bodies read must be the stream's bytes, in order.
func FuzzFrameReader(f *testing.F) {
	f.Add([]byte(`{"id":1,"method":"a","params":{"x":1},"body":3}` + "\nabc" + `{"id":2}` + "\n"))
	f.Add([]byte(`{"id":1,"body":-1}` + "\n"))
	f.Add([]byte(`{"id":1,"body":67108865}` + "\n"))
	f.Add([]byte(`{"id":1,"body":67108864}` + "\nshort"))
	f.Add([]byte("\n\n{}"))
	f.Add(bytes.Repeat([]byte("y"), 2*readBufferBytes))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := newFrameReader(iotest.HalfReader(bytes.NewReader(stream)))
		rest := stream
		for {
			line, err := reader.readLine()
			if err != nil {
				assertEnd(t, err, rest)
				return
			}
			rest = assertPrefix(t, rest, line)
			var request incomingRequest
			if json.Unmarshal(line, &request) != nil {
				continue
			}
			body, err := reader.readBody(request.Body)
			if err != nil {
				return
			}
			assert.Equal(t, len(body), request.Body)
			rest = assertPrefix(t, rest, body)
		}
	})
}

func assertEnd(t *testing.T, err error, rest []byte) {
	t.Helper()
	if len(rest) == 0 {
		assert.Equal(t, err, io.EOF)
		return
	}
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, errLineTooLong), "got %v", err)
	assert.Assert(t, !bytes.Contains(rest, []byte("\n")))
}

func assertPrefix(t *testing.T, stream, part []byte) []byte {
	t.Helper()
	assert.Assert(t, bytes.HasPrefix(stream, part))
	return stream[len(part):]
}
