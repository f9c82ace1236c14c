package capacity

import (
	_ "embed"
	"encoding/json"

	"github.com/gravitational/trace"
)

//go:embed slopes.json
var slopesText []byte

// Slope is one measured cost per unit, such as bytes of memory per message.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Run   string  `json:"run"` // how to measure it: a benchmark, a journal entry or a scale run
	Note  string  `json:"note,omitempty"`
}

// Slopes maps the name of each slope to the slope.
type Slopes map[string]Slope

// orderedSlopes returns the slopes in the order of slopes.json.
func orderedSlopes() ([]Slope, error) {
	var list []Slope
	err := json.Unmarshal(slopesText, &list)
	return list, trace.Wrap(err, "reading the slopes")
}

// Load returns the slopes in slopes.json. It returns trace.BadParameter for a slope without a unit or a run, and
// trace.AlreadyExists for a name that is listed twice.
func Load() (Slopes, error) {
	list, err := orderedSlopes()
	if err != nil {
		return nil, err
	}
	slopes := make(Slopes, len(list))
	for _, slope := range list {
		if slope.Run == "" || slope.Unit == "" {
			return nil, trace.BadParameter("slope %q has no run or no unit", slope.Name)
		}
		if _, found := slopes[slope.Name]; found {
			return nil, trace.AlreadyExists("slope %q is listed twice", slope.Name)
		}
		slopes[slope.Name] = slope
	}
	return slopes, nil
}
