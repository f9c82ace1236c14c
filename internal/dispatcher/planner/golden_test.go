package planner

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// TestGoldenFit compares every value that is fitted to a captured day, and the fleet filled in from it, with recorded
// ones.
func TestGoldenFit(t *testing.T) {
	set, fleet := capturedDay()
	fit, err := FitCapture(set, fleet)
	if err != nil {
		t.Fatal(err)
	}
	_, load := halfLoadedFleet()
	load.Rate[0].PerSecond = 500
	text, err := json.MarshalIndent(map[string]any{"fit": fit, "filled": fit.FillFleet(fleet), "extrapolates": fit.Extrapolations(load)}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.AssertBytes(t, append(text, '\n'), "fit.json")
}

// TestGoldenAnswers compares the JSON of the answer to each question with a recorded one.
func TestGoldenAnswers(t *testing.T) {
	fleet, load := halfLoadedFleet()
	load.Seconds = 4
	p := newPlanner(t, fleet, load, "service >= 0.9 and late <= 20% with zone sherbrooke lost at 1 for 2", Options{MaxDays: 3, MaxFactor: 4, Seed: 7, Parallelism: 2})
	point, err := p.FindBreakingPoint()
	if err != nil {
		t.Fatal(err)
	}
	sizing, err := p.FindSizing()
	if err != nil {
		t.Fatal(err)
	}
	losses, err := p.ZoneLosses()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(map[string]any{"breaks": point, "needs": sizing, "losses": losses, "days": p.DaysSimulated()}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.AssertBytes(t, append(text, '\n'), "answers.json")
}

// TestGoldenGoalErrors compares the errors of goals that cannot be parsed with recorded ones.
func TestGoldenGoalErrors(t *testing.T) {
	var out bytes.Buffer
	for _, text := range []string{"", "service", "service > 0.9", "service >= 95", "service >= 0.9 and speed >= 0.2", "service >= 0.9 with", "service(", "service >= 0.9 with 5 apples",
		"service >= 0.9;", "service >= 0.9 with zone", "service >= 0.9 with 5 % dead at", "service >= 0.9 with x times", "(", "score(x) >= 1"} {
		_, err := ParseGoal(text)
		fmt.Fprintf(&out, "%s: %v\n", text, err)
	}
	golden.AssertBytes(t, out.Bytes(), "goal-errors.txt")
}
