package rpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

const (
	maximumLine    = 16 << 20  // bytes of a frame's line
	maximumBody    = 64 << 20  // bytes of a frame's body
	readBufferSize = 4 << 10   // bytes read ahead on each connection
	bodyStep       = 256 << 10 // a body's memory is taken in steps, as its bytes come
	keptLineBuffer = 64 << 10  // a larger buffer for long lines is not kept
)

var (
	errLineTooLong = errors.New("rpc: line too long")
	errBodyTooLong = errors.New("rpc: body too long")
	errBodyLength  = errors.New("rpc: negative length of a body")
)

// outgoingRequest is the line of a call as the client writes it.
type outgoingRequest struct {
	ID     uint64 `json:"id"`
	Method string `json:"method"`
	Params any    `json:"params,omitempty"`
	Body   int    `json:"body,omitempty"`
}

// incomingRequest is the line of a call as the server reads it.
type incomingRequest struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Body   int             `json:"body"`
}

// outgoingAnswer is the line of an answer as the server writes it.
type outgoingAnswer struct {
	ID     uint64 `json:"id"`
	Result any    `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
	Body   int    `json:"body,omitempty"`
}

// incomingAnswer is the line of an answer as the client reads it.
type incomingAnswer struct {
	ID     uint64          `json:"id"`
	Result json.RawMessage `json:"result"`
	Error  *Error          `json:"error"`
	Body   int             `json:"body"`
}

// encodeLine renders the line of a frame, with its end.
func encodeLine(frame any) ([]byte, error) {
	line, err := json.Marshal(frame)
	if err != nil {
		return nil, err
	}
	if len(line) >= maximumLine {
		return nil, errLineTooLong
	}
	return append(line, '\n'), nil
}

// frameReader reads lines and bodies off a connection.
type frameReader struct {
	source *bufio.Reader
	long   []byte // collects a line that exceeds the read buffer
}

func newFrameReader(source io.Reader) *frameReader {
	return &frameReader{source: bufio.NewReaderSize(source, readBufferSize)}
}

// readLine returns the next line. It is valid until the next read.
func (r *frameReader) readLine() ([]byte, error) {
	if cap(r.long) > keptLineBuffer {
		r.long = nil
	}
	r.long = r.long[:0]
	part, err := r.source.ReadSlice('\n')
	if err == nil {
		return part, nil
	}
	for errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long, part...)
		if len(r.long) > maximumLine {
			return nil, errLineTooLong
		}
		part, err = r.source.ReadSlice('\n')
	}
	if err != nil {
		return nil, endInFrame(err, len(r.long)+len(part))
	}
	r.long = append(r.long, part...)
	if len(r.long) > maximumLine {
		return nil, errLineTooLong
	}
	return r.long, nil
}

// readBody returns the body of a frame, in memory of its own.
func (r *frameReader) readBody(length int) ([]byte, error) {
	if err := checkBodyLength(length); err != nil {
		return nil, err
	}
	if length == 0 {
		return nil, nil
	}
	if length <= bodyStep {
		body := make([]byte, length)
		_, err := io.ReadFull(r.source, body)
		return body, endInFrame(err, length)
	}
	var body bytes.Buffer
	body.Grow(bodyStep)
	_, err := io.CopyN(&body, r.source, int64(length))
	return body.Bytes(), endInFrame(err, length)
}

func checkBodyLength(length int) error {
	if length < 0 {
		return errBodyLength
	}
	if length > maximumBody {
		return errBodyTooLong
	}
	return nil
}

// endInFrame tells an end of the stream within a frame from one between two frames.
func endInFrame(err error, seen int) error {
	if errors.Is(err, io.EOF) && seen > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}
