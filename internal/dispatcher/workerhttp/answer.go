// Reading a worker's answer, line by line.

package workerhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// said is what a worker's answer came to.
type said struct {
	outcome decision.Outcome
	load    decision.Load
	result  []byte
	clean   bool          // the connection may serve again
	rest    io.Reader     // what still has to be read before it does
	length  int64         // its length where the head says it, else -1
	rests   time.Duration // how long the connection does not serve
}

func (f *Transport) read(a *dispatch.Attempt, l *link) said {
	for {
		l.left = f.lim.HeadBytes + 2*f.lim.LineBytes
		resp, err := http.ReadResponse(l.from, &http.Request{Method: http.MethodPost})
		if err != nil {
			return said{outcome: broke(a, err)}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		s := said{outcome: decision.Error, clean: !resp.Close, rest: resp.Body, length: resp.ContentLength, load: f.loadLine(resp.Header.Get("X-Server-Load"))}
		if resp.StatusCode == http.StatusOK {
			return f.lines(a, l, resp, s)
		}
		// It names no job. A second one of it, some milliseconds late, would pass for the next job's: that would count as one
		// that never ran, or has ended, while it runs.
		s.rests = f.lim.LateAnswerWindow
		switch resp.StatusCode {
		case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			if resp.Header.Get("X-Not-Processed") == "1" {
				s.outcome = decision.Rejected
			}
		}
		return s
	}
}

// broke names the outcome of an attempt whose request went out whole and whose answer broke off.
func broke(a *dispatch.Attempt, err error) decision.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.Context.Err() != nil:
		return decision.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return decision.TimedOut
	}
	return decision.Reset
}

// Line is one line of a worker's answer.
type AnswerLine struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// lines follows a job's answer to its last line. Chunks may cut lines anywhere.
func (f *Transport) lines(a *dispatch.Attempt, l *link, resp *http.Response, s said) said {
	body := &ending{Reader: resp.Body}
	if len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked" {
		body.Reader = &chunks{from: l.from}
		s.rest = body
	}
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 1<<10), f.lim.LineBytes)
	for in.Scan() {
		text := bytes.TrimSpace(in.Bytes())
		if len(text) == 0 {
			continue
		}
		o, load, result := ReadLine(f.node, a, text)
		if o == 0 {
			continue
		}
		s.outcome, s.load, s.result = o, load, result
		s.clean = s.clean && o != decision.Reset // after a break or a foreign line nothing on it can be trusted
		if s.length = -1; body.over {
			s.rest = nil
		}
		return s
	}
	s.outcome, s.clean, s.rest = decision.Reset, false, nil
	if err := in.Err(); err != nil {
		s.outcome = broke(a, err)
	}
	return s
}

// Read takes one line of a worker's answer to an attempt, whatever wire brought it. The outcome is 0 until the last.
func ReadLine(n *config.Node, a *dispatch.Attempt, text []byte) (decision.Outcome, decision.Load, []byte) {
	var l AnswerLine
	if err := json.Unmarshal(text, &l); err != nil || l.ID != a.Job.ID {
		// Cut off, or the answer to something else: nothing is proved, and nothing of it goes to the client.
		return decision.Reset, decision.Load{}, nil
	}
	load := loadObject(n, l.Load)
	switch l.State {
	case "started":
		a.ReportProgress(decision.JobStarted, 0)
	case "running":
		a.ReportProgress(decision.JobAdvanced, l.Share)
	case "done":
		if len(l.Result) == 0 { // done without a result: there is none to give to the client
			return decision.Error, load, nil
		}
		result := []byte(l.Result)
		var plain string
		if json.Unmarshal(l.Result, &plain) == nil {
			result = []byte(plain)
		}
		return decision.OK, load, result
	case "failed":
		return decision.Error, load, nil
	case "returned":
		return decision.Rejected, load, nil
	case "lost":
		return decision.Reset, load, nil
	}
	return 0, decision.Load{}, nil
}
