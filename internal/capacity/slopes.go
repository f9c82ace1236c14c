package capacity

import (
	_ "embed"
	"encoding/json"

	"github.com/gravitational/trace"
)

//go:embed slopes.json
var slopesText []byte

// Slope is one measured cost for each unit of something.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Run   string  `json:"run"` // how to measure it: a benchmark, a journal entry or a scale run
	Note  string  `json:"note,omitempty"`
}

// Slopes are the measured costs by their names.
type Slopes map[string]Slope

// ordered returns the slopes in the order of slopes.json.
func ordered() ([]Slope, error) {
	var list []Slope
	err := json.Unmarshal(slopesText, &list)
	return list, trace.Wrap(err, "reading the slopes")
}

// Load returns the slopes of slopes.json. One without a unit or a run, or one that is there twice, is an error.
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
