package workerhttp

import (
	"encoding/json"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// AnswerLine is one line of a worker's answer.
type AnswerLine struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// The states of an AnswerLine. Others are passed over.
const (
	lineStarted  = "started"
	lineRunning  = "running"
	lineDone     = "done"
	lineFailed   = "failed"
	lineReturned = "returned" // the job has not run
	lineLost     = "lost"     // the worker does not know what became of it
)

// ReadLine takes one line of a worker's answer to an attempt, whatever protocol brought it. Progress is passed on to the
// attempt. The outcome is 0 until the last line.
func ReadLine(n *config.Node, a *dispatch.Attempt, text []byte) (decision.Outcome, decision.Load, []byte) {
	var line AnswerLine
	if err := json.Unmarshal(text, &line); err != nil || line.ID != a.Job.ID {
		// Cut off, or the answer to something else: nothing is proved, and nothing of it goes to the client.
		return decision.Reset, decision.Load{}, nil
	}
	load := parseLoadObject(n, line.Load)
	switch line.State {
	case lineStarted:
		a.ReportProgress(decision.JobStarted, 0)
	case lineRunning:
		a.ReportProgress(decision.JobAdvanced, line.Share)
	case lineDone:
		if len(line.Result) == 0 { // there is nothing to give to the client
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

// resultBytes returns a result as the client gets it: the text of a string, any other JSON value as it stands.
func resultBytes(result json.RawMessage) []byte {
	var text string
	if json.Unmarshal(result, &text) == nil {
		return []byte(text)
	}
	return result
}
