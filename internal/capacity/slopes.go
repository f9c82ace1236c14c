package capacity

import (
	_ "embed"
	"encoding/json"

	"github.com/gravitational/trace"
)

//go:embed slopes.json
var slopesText []byte

// Slope is one measured figure.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Run   string  `json:"run"` // what to run to get it: a benchmark, a journal entry or a scale run
	Note  string  `json:"note,omitempty"`
}

// Slopes are all measured figures by their names.
type Slopes map[string]Slope

// ordered returns the slopes in the order in which they stand.
func ordered() ([]Slope, error) {
	var list []Slope
	err := json.Unmarshal(slopesText, &list)
	return list, trace.Wrap(err, "reading the slopes")
}

// Load returns the slopes that were measured last.
func Load() (Slopes, error) {
	list, err := ordered()
	if err != nil {
		return nil, err
	}
	slopes := make(Slopes, len(list))
	for _, slope := range list {
		if slope.Run == "" || slope.Unit == "" {
			return nil, trace.BadParameter("the slope %q has no run or no unit", slope.Name)
		}
		if _, twice := slopes[slope.Name]; twice {
			return nil, trace.AlreadyExists("the slope %q stands twice", slope.Name)
		}
		slopes[slope.Name] = slope
	}
	return slopes, nil
}
