package workerhttp

import (
	"slices"
	"strconv"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

// requestOverhead is what a request is expected to take besides its body, in bytes.
const requestOverhead = 512

// encodeRequest returns the request of an attempt. What the client sent stands as it came; X-Timeout has the seconds that
// are left.
func encodeRequest(a *dispatch.Attempt) []byte {
	j := a.Job
	b := make([]byte, 0, requestOverhead+len(j.Body))
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
	left := max(time.Until(a.Deadline), time.Millisecond)
	b = appendField(b, "X-Timeout", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
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
