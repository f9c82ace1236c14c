package workerhttp

import (
	"slices"
	"strconv"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

// expectedHeadBytes is the expected size of a request's head, in bytes.
const expectedHeadBytes = 512

// encodeRequest encodes the request of an attempt. It forwards the client's target, header fields and body unchanged,
// and sets X-Timeout to the remaining time in seconds.
func encodeRequest(a *dispatch.Attempt) []byte {
	j := a.Job
	b := make([]byte, 0, expectedHeadBytes+len(j.Body))
	b = append(b, "POST "...)
	b = append(b, j.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	if !slices.ContainsFunc(j.Header, func(f dispatch.HeaderField) bool { return f.Name == "Host" }) {
		b = appendField(b, "Host", a.Worker.Address)
	}
	for _, f := range j.Header {
		b = appendField(b, f.Name, f.Value)
	}
	b = appendField(b, "X-Request-ID", j.ID)
	if j.IdempotencyKey != "" {
		b = appendField(b, "Idempotency-Key", j.IdempotencyKey)
	}
	remaining := max(time.Until(a.Deadline), time.Millisecond)
	b = appendField(b, "X-Timeout", strconv.FormatFloat(remaining.Seconds(), 'f', 3, 64))
	b = appendField(b, "Content-Length", strconv.Itoa(len(j.Body)))
	b = append(b, "\r\n"...)
	return append(b, j.Body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
