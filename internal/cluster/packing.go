package cluster

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
)

const (
	// packFrom is the size of a body from which compressing it pays.
	packFrom = 4 << 10
	// longestUnpacked bounds what a compressed body may grow to.
	longestUnpacked = 64 << 20
)

// Compress compresses a body, and returns false where that would not pay.
func Compress(body []byte) ([]byte, bool) {
	if len(body) < packFrom {
		return nil, false
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(body); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	if packed.Len() >= len(body) {
		return nil, false
	}
	return packed.Bytes(), true
}

// Decompress returns the body that Compress has compressed.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(reader, longestUnpacked+1))
	if err != nil {
		return nil, trace.Wrap(err, "unpacking a body")
	}
	if len(body) > longestUnpacked {
		return nil, trace.LimitExceeded("a body of more than %d bytes", longestUnpacked)
	}
	return body, nil
}
