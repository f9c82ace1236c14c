package workerhttp

import (
	"encoding/json"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// AnswerLine is one JSON line of a worker's answer.
type AnswerLine struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// The states of an AnswerLine. Lines with other states are ignored.
const (
	lineStarted  = "started"
	lineRunning  = "running"
	lineDone     = "done"
	lineFailed   = "failed"
	lineReturned = "returned" // the job has not run
	lineLost     = "lost"     // the worker does not know the outcome of the job
)

// ReadLine decodes one line of a worker's answer to an attempt, received over any protocol. It reports progress to the
// attempt. It returns the outcome, the load report and the result of the last line; for every other line the outcome
// is 0.
func ReadLine(n *config.Node, a *dispatch.Attempt, text []byte) (decision.Outcome, decision.Load, []byte) {
	var line AnswerLine
	if err := json.Unmarshal(text, &line); err != nil || line.ID != a.Job.ID {
		// The line is truncated or answers another job. It proves nothing about this job, and the client must not get
		// it.
		return decision.Reset, decision.Load{}, nil
	}
	load := parseLoadObject(n, line.Load)
	switch line.State {
	case lineStarted:
		a.ReportProgress(decision.JobStarted, 0)
	case lineRunning:
		a.ReportProgress(decision.JobAdvanced, line.Share)
	case lineDone:
		if len(line.Result) == 0 { // there is no result to send to the client
			return decision.Error, load, nil
		}
		return decision.OK, load, resultBytes(line.Result)
	case lineFailed:
		return decision.Error, load, nil
	case lineReturned:
		return decision.Rejected, load, nil
	case lineLost:
		return decision.Reset, load, nil
	}
	return 0, decision.Load{}, nil
}

// resultBytes returns a result as the client receives it: the text of a JSON string, or any other JSON value unchanged.
func resultBytes(result json.RawMessage) []byte {
	var text string
	if json.Unmarshal(result, &text) == nil {
		return []byte(text)
	}
	return result
}
