package workerhttp

import (
	"encoding/json"
	"strconv"
	"strings"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// loadReport gathers the figures of a worker's report, in the order that the settings give them.
type loadReport struct {
	node  *config.Node
	load  decision.Load
	found int // a bit for each figure
}

// put notes a figure under the settings' name or the workers' own; names that the settings do not have are passed over.
func (r *loadReport) put(name string, v float64) {
	if i := r.node.LoadFieldIndex(name); i >= 0 && i < len(r.load.Values) {
		r.load.Values[i] = v
		r.found |= 1 << i
	}
}

// complete returns the report; one that lacks a figure is none.
func (r *loadReport) complete() decision.Load {
	if want := min(len(r.node.LoadFields), len(r.load.Values)); want > 0 && r.found == 1<<want-1 {
		r.load.Count = want
	}
	return r.load
}

// parseLoadHeader reads a report as X-Server-Load has it: "TEXT name=value, name=value".
func (t *Transport) parseLoadHeader(text string) decision.Load {
	report := loadReport{node: t.node}
	for part := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		if name, value, ok := strings.Cut(part, "="); ok {
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				report.put(name, v)
			}
		}
	}
	return report.complete()
}

// parseLoadObject reads a report as a line of an answer has it: an object whose numbers are figures.
func parseLoadObject(n *config.Node, text json.RawMessage) decision.Load {
	var object map[string]any // its names are the settings', and other values than numbers may stand in it
	if len(text) == 0 || json.Unmarshal(text, &object) != nil {
		return decision.Load{}
	}
	report := loadReport{node: n}
	for name, v := range object {
		if v, ok := v.(float64); ok {
			report.put(name, v)
		}
	}
	return report.complete()
}
