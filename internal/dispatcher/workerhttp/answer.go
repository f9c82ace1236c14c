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

// initialLineBytes is the initial size of the line buffer in bytes. The buffer grows up to Limits.LineBytes.
const initialLineBytes = 1 << 10

// answer is the result of reading a worker's answer.
type answer struct {
	outcome    decision.Outcome
	load       decision.Load
	result     []byte
	reusable   bool          // the connection may carry another request
	rest       io.Reader     // body that must be read before the connection is reused; may be nil
	length     int64         // length of rest in bytes; -1 if the head does not state it
	quarantine time.Duration // how long the connection must carry no request
}

// readAnswer reads an answer up to the line that determines the outcome, and reports progress to the attempt.
func (t *Transport) readAnswer(a *dispatch.Attempt, c *conn) answer {
	for {
		c.budget = t.limits.HeadBytes + 2*t.limits.LineBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return answer{outcome: outcomeOfReadError(a, err)}
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
		// This answer names no job. If the worker sends it twice, the second copy can arrive some milliseconds later
		// and be read as the answer to the next request: that job would count as never run, or as ended, while it runs.
		r.quarantine = t.limits.LateAnswerWindow
		if neverRan(resp) {
			r.outcome = decision.Rejected
		}
		return r
	}
}

// isInformational reports whether another answer follows an answer with this status (RFC 9110, section 15.2).
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

// neverRan reports whether an answer without lines states that the job has not run.
func neverRan(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return resp.Header.Get("X-Not-Processed") == "1"
	}
	return false
}

// outcomeOfReadError returns the outcome of an attempt whose request was written and whose answer could not be read to
// the end.
func outcomeOfReadError(a *dispatch.Attempt, err error) decision.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.Context.Err() != nil:
		return decision.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision.TimedOut
	}
	return decision.Reset
}

// readLines reads the lines of an answer up to the last one. A chunk may end anywhere in a line.
func (t *Transport) readLines(a *dispatch.Attempt, c *conn, resp *http.Response, r answer) answer {
	body := &eofReader{Reader: resp.Body}
	if len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked" {
		body.Reader = &chunkedReader{source: c.reader}
		r.rest = body
	}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), t.limits.LineBytes)
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
		r.reusable = r.reusable && o != decision.Reset // what follows a Reset line is unreliable
		r.length = -1
		if body.sawEOF {
			r.rest = nil
		}
		return r
	}
	r.outcome, r.reusable, r.rest = decision.Reset, false, nil
	if err := lines.Err(); err != nil {
		r.outcome = outcomeOfReadError(a, err)
	}
	return r
}
