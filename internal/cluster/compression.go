package cluster

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
)

const (
	// minCompressBytes is the size from which on a body is compressed.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes bounds the size of a decompressed body.
	maxDecompressedBytes = 64 << 20
)

// Compress compresses a body with DEFLATE (RFC 1951), and returns false where the body is small or does not shrink.
func Compress(body []byte) ([]byte, bool) {
	if len(body) < minCompressBytes {
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

// Decompress returns the body that Compress has compressed. It fails where that is malformed or larger than 64 MiB.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "unpacking a body")
	}
	if len(body) > maxDecompressedBytes {
		return nil, trace.LimitExceeded("a body of more than %d bytes", maxDecompressedBytes)
	}
	return body, nil
}
