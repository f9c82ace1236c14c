package workerhttp

import (
	"encoding/json"
	"strconv"
	"strings"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// loadReport collects the values of a worker's load report in the order of the settings' load fields.
type loadReport struct {
	node  *config.Node
	load  decision.Load
	found int // bit i is set if load.Values[i] has been set
}

// set stores a value by its name in the settings or by the name that workers use. It ignores names that the settings
// lack.
func (r *loadReport) set(name string, v float64) {
	if i := r.node.LoadFieldIndex(name); i >= 0 && i < len(r.load.Values) {
		r.load.Values[i] = v
		r.found |= 1 << i
	}
}

// complete returns the report. If a value is missing, the report has Count 0 and so counts as absent.
func (r *loadReport) complete() decision.Load {
	if want := min(len(r.node.LoadFields), len(r.load.Values)); want > 0 && r.found == 1<<want-1 {
		r.load.Count = want
	}
	return r.load
}

// parseLoadHeader parses the load report in an X-Server-Load header: "TEXT name=value, name=value".
func (t *Transport) parseLoadHeader(text string) decision.Load {
	report := loadReport{node: t.node}
	for part := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ' ' || r == ',' }) {
		if name, value, ok := strings.Cut(part, "="); ok {
			if v, err := strconv.ParseFloat(value, 64); err == nil {
				report.set(name, v)
			}
		}
	}
	return report.complete()
}

// parseLoadObject parses the load report in an answer line: an object whose numbers are the values.
func parseLoadObject(n *config.Node, text json.RawMessage) decision.Load {
	var object map[string]any // the settings define the names; values other than numbers are allowed and ignored
	if len(text) == 0 || json.Unmarshal(text, &object) != nil {
		return decision.Load{}
	}
	report := loadReport{node: n}
	for name, v := range object {
		if v, ok := v.(float64); ok {
			report.set(name, v)
		}
	}
	return report.complete()
}
