package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Limits of the format, which both ends check.
const (
	maxLineBytes = 16 << 20 // of a frame's line, its end included
	maxBodyBytes = 64 << 20 // of a frame's body
)

// Sizes of a reader's buffers.
const (
	readBufferBytes      = 4 << 10   // read ahead on each connection
	bodyStepBytes        = 256 << 10 // a body's memory is taken in steps, as its bytes come
	maxRetainedLineBytes = 64 << 10  // a larger buffer for long lines is not retained
)

// outgoingRequest is the line of a request as the client writes it.
type outgoingRequest struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params any    `json:"params,omitempty"`
	Body   int    `json:"body,omitempty"` // length in bytes
}

// incomingRequest is the line of a request as the server reads it.
type incomingRequest struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Body   int             `json:"body"` // length in bytes
}

// outgoingResponse is the line of a response as the server writes it.
type outgoingResponse struct {
	ID     uint64 `json:"id"`
	Result any    `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
	Body   int    `json:"body,omitempty"` // length in bytes
}

// incomingResponse is the line of a response as the client reads it.
type incomingResponse struct {
	ID     uint64          `json:"id"`
	Result json.RawMessage `json:"result"`
	Error  *Error          `json:"error"`
	Body   int             `json:"body"` // length in bytes
}

// encodeLine renders the line of a frame, with its end.
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

// checkBodyLength checks the length of a body, in bytes, against the format.
func checkBodyLength(length int) error {
	if length < 0 {
		return errNegativeBodyLength
	}
	if length > maxBodyBytes {
		return errBodyTooLong
	}
	return nil
}

// frameReader reads the lines and bodies of a connection. It is used by one goroutine.
type frameReader struct {
	source   *bufio.Reader
	longLine []byte // collects a line that exceeds the read buffer
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// readLine returns the next line. It is valid until the next read. The error is io.EOF where the stream ends between two
// frames.
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

// readBody returns the body of a frame, in memory of its own. A long body gets its memory as its bytes come, so that a
// length alone takes none.
func (r *frameReader) readBody(length int) ([]byte, error) {
	if err := checkBodyLength(length); err != nil {
		return nil, err
	}
	if length == 0 {
		return nil, nil
	}
	if length <= bodyStepBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(r.source, body)
		return body, truncationError(err, length)
	}
	var body bytes.Buffer
	body.Grow(bodyStepBytes)
	_, err := io.CopyN(&body, r.source, int64(length))
	return body.Bytes(), truncationError(err, length)
}

// truncationError tells an end of the stream within a frame, of which so many bytes were due or seen, from one between
// two frames. Other errors it returns as they are.
func truncationError(err error, frameBytes int) error {
	if errors.Is(err, io.EOF) && frameBytes > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
