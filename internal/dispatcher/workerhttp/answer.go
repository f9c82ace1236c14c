package workerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// scanBytes is the size with which the buffer for lines begins; it grows up to the limit on a line.
const scanBytes = 1 << 10

// answer is what a worker's answer came to.
type answer struct {
	outcome    decision.Outcome
	load       decision.Load
	result     []byte
	reusable   bool          // the connection may carry another request
	rest       io.Reader     // what still has to be read before it does; nil is nothing
	length     int64         // of the rest, where the head says it, else -1
	quarantine time.Duration // for how long the connection carries no request
}

// readAnswer reads an answer up to the line that decides it, and passes on what tells of progress.
func (t *Transport) readAnswer(a *dispatch.Attempt, c *conn) answer {
	for {
		c.left = t.limits.HeadBytes + 2*t.limits.LineBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return answer{outcome: outcomeOfBreak(a, err)}
		}
		if isInformational(resp.StatusCode) {
			continue
		}
		r := answer{
			outcome:  decision.Error,
			load:     t.parseLoadHeader(resp.Header.Get("X-Server-Load")),
			reusable: !resp.Close,
			rest:     resp.Body,
			length:   resp.ContentLength,
		}
		if resp.StatusCode == http.StatusOK {
			return t.readLines(a, c, resp, r)
		}
		// It names no job. A second one of it, some milliseconds late, would pass for the next job's: that would count as one
		// that never ran, or has ended, while it runs.
		r.quarantine = t.limits.LateAnswerWindow
		if neverRan(resp) {
			r.outcome = decision.Rejected
		}
		return r
	}
}

// isInformational returns whether another answer follows one of this status (RFC 9110, section 15.2).
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// neverRan returns whether an answer without lines says that the job has not run.
func neverRan(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get("X-Not-Processed") == "1"
	}
	return false
}

// outcomeOfBreak returns the outcome of an attempt whose request was written and whose answer broke off.
func outcomeOfBreak(a *dispatch.Attempt, err error) decision.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.Context.Err() != nil:
		return decision.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision.TimedOut
	}
	return decision.Reset
}

// readLines reads the lines of an answer up to the last one. Chunks may cut lines anywhere.
func (t *Transport) readLines(a *dispatch.Attempt, c *conn, resp *http.Response, r answer) answer {
	body := &endReader{Reader: resp.Body}
	if len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked" {
		body.Reader = &chunkedReader{from: c.reader}
		r.rest = body
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, scanBytes), t.limits.LineBytes)
	for lines.Scan() {
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		o, load, result := ReadLine(t.node, a, text)
		if o == 0 {
			continue
		}
		r.outcome, r.load, r.result = o, load, result
		r.reusable = r.reusable && o != decision.Reset // after a break or a foreign line nothing on it can be trusted
		r.length = -1
		if body.ended {
			r.rest = nil
		}
		return r
	}
	r.outcome, r.reusable, r.rest = decision.Reset, false, nil
	if err := lines.Err(); err != nil {
		r.outcome = outcomeOfBreak(a, err)
	}
	return r
}
