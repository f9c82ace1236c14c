package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Limits of the frame format. Both ends check them.
const (
	maxLineBytes = 16 << 20 // of a frame's line, with its line feed
	maxBodyBytes = 64 << 20 // of a frame's body
)

// Buffer sizes of a frameReader.
const (
	readBufferBytes      = 4 << 10   // read-ahead buffer of each connection
	bodyChunkBytes       = 256 << 10 // initial allocation for a longer body, which grows as its bytes arrive
	maxRetainedLineBytes = 64 << 10  // a larger buffer is released after its line
)

// outgoingRequest is the line of a request as the client encodes it.
type outgoingRequest struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params any    `json:"params,omitempty"`
	Body   int    `json:"body,omitempty"` // length in bytes
}

// incomingRequest is the line of a request as the server decodes it.
type incomingRequest struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Body   int             `json:"body"` // length in bytes
}

// outgoingResponse is the line of a response as the server encodes it.
type outgoingResponse struct {
	ID     uint64 `json:"id"`
	Result any    `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
	Body   int    `json:"body,omitempty"` // length in bytes
}

// incomingResponse is the line of a response as the client decodes it.
type incomingResponse struct {
	ID     uint64          `json:"id"`
	Result json.RawMessage `json:"result"`
	Error  *Error          `json:"error"`
	Body   int             `json:"body"` // length in bytes
}

// encodeLine returns the line of a frame with its line feed. A line that exceeds maxLineBytes fails with
// errLineTooLong.
func encodeLine(frame any) ([]byte, error) {
	line, err := json.Marshal(frame)
	if err != nil {
		return nil, err
	}
	if len(line) >= maxLineBytes {
		return nil, errLineTooLong
	}
	return append(line, '\n'), nil
}

// checkBodyLength returns an error if a body of length bytes violates the limits of the format.
func checkBodyLength(length int) error {
	if length < 0 {
		return errNegativeBodyLength
	}
	if length > maxBodyBytes {
		return errBodyTooLong
	}
	return nil
}

// frameReader reads the lines and bodies of a connection. It is not safe for concurrent use.
type frameReader struct {
	source   *bufio.Reader
	longLine []byte // collects a line that exceeds the read buffer
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// readLine returns the next line with its line feed. The line is valid until the next read. The error is io.EOF if the
// stream ends between two frames.
func (r *frameReader) readLine() ([]byte, error) {
	if cap(r.longLine) > maxRetainedLineBytes {
		r.longLine = nil
	}
	r.longLine = r.longLine[:0]
	part, err := r.source.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine, part...)
		if len(r.longLine) > maxLineBytes {
			return nil, errLineTooLong
		}
		part, err = r.source.ReadSlice('\n')
	}
	if err != nil {
		return nil, truncationError(err, len(r.longLine)+len(part))
	}
	r.longLine = append(r.longLine, part...)
	if len(r.longLine) > maxLineBytes {
		return nil, errLineTooLong
	}
	return r.longLine, nil
}

// readBody returns the body of a frame in a newly allocated buffer. The buffer of a long body grows as the bytes
// arrive, so that an announced length alone allocates at most bodyChunkBytes.
func (r *frameReader) readBody(length int) ([]byte, error) {
	if err := checkBodyLength(length); err != nil {
		return nil, err
	}
	if length == 0 {
		return nil, nil
	}
	if length <= bodyChunkBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(r.source, body)
		return body, truncationError(err, length)
	}
	var body bytes.Buffer
	body.Grow(bodyChunkBytes)
	_, err := io.CopyN(&body, r.source, int64(length))
	return body.Bytes(), truncationError(err, length)
}

// truncationError replaces io.EOF by io.ErrUnexpectedEOF if the stream ended within a frame, that is, if frameBytes of
// the frame were read or expected. It returns other errors unchanged.
func truncationError(err error, frameBytes int) error {
	if errors.Is(err, io.EOF) && frameBytes > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
