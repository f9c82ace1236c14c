package cluster

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
)

const (
	// minCompressBytes is the size of the smallest body that is compressed, in bytes.
	minCompressBytes = 4 << 10
	// maxDecompressedBytes is the maximum size of a decompressed body, in bytes.
	maxDecompressedBytes = 64 << 20
)

// Compress compresses a body with DEFLATE (RFC 1951). It returns false if the body is smaller than 4 KiB or does not
// shrink.
func Compress(body []byte) ([]byte, bool) {
	if len(body) < minCompressBytes {
		return nil, false
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(body); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	if compressed.Len() >= len(body) {
		return nil, false
	}
	return compressed.Bytes(), true
}

// Decompress reverses Compress. It returns an error if the data is malformed or the body is larger than 64 MiB.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	body, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, trace.Wrap(err, "decompressing a body")
	}
	if len(body) > maxDecompressedBytes {
		return nil, trace.LimitExceeded("decompressed body exceeds %d bytes", maxDecompressedBytes)
	}
	return body, nil
}
