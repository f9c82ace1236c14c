// Load reports, from a header or from a line of an answer.

package workerhttp

import (
	"encoding/json"
	"strconv"
	"strings"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// figures gathers a load report; one that lacks a figure is none.
func figures(n *config.Node, each func(put func(word string, v float64))) (l decision.Load) {
	found := 0
	each(func(word string, v float64) {
		if i := n.LoadFieldIndex(word); i >= 0 && i < len(l.Values) {
			l.Values[i] = v
			found |= 1 << i
		}
	})
	if want := min(len(n.LoadFields), len(l.Values)); want > 0 && found == 1<<want-1 {
		l.Count = want
	}
	return l
}

// loadLine reads a report as a header has it: TEXT name=value, name=value.
func (f *Transport) loadLine(text string) decision.Load {
	return figures(f.node, func(put func(string, float64)) {
		for part := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ' ' || r == ',' }) {
			if name, value, ok := strings.Cut(part, "="); ok {
				if v, err := strconv.ParseFloat(value, 64); err == nil {
					put(name, v)
				}
			}
		}
	})
}

func loadObject(n *config.Node, text json.RawMessage) decision.Load {
	var object map[string]any
	if len(text) == 0 || json.Unmarshal(text, &object) != nil {
		return decision.Load{}
	}
	return figures(n, func(put func(string, float64)) {
		for name, v := range object {
			if v, ok := v.(float64); ok {
				put(name, v)
			}
		}
	})
}
