package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// soundHistory is a history of one ordered message that keeps all rules. Each case of TestJudge breaks one.
func soundHistory() *History {
	const requestID = "1"
	return &History{
		Attempts: []Attempt{{
			RequestID: requestID, MessageID: "m", Front: "front-1", Route: Ordered, OrderKey: []byte("k"), SentAt: time.Second,
			AnsweredAt: 1100 * time.Millisecond, Status: http.StatusAccepted, BodyHash: 7, Delay: time.Second,
		}},
		Runs: []Run{{
			RequestID: requestID, Worker: "w", BeganAt: 2 * time.Second, AnsweredAt: 2100 * time.Millisecond, Limit: 1500 * time.Millisecond,
			Status: http.StatusOK, Stamp: "s", OrderKey: []byte("k"), BodyHash: 7,
		}},
		States: []FinalState{{RequestID: requestID, Status: http.StatusOK, State: stateCompleted, Stamp: "s"}},
		End:    time.Minute,
	}
}

// again returns a run of the message of soundHistory at a time, with a status.
func again(at time.Duration, status int) Run {
	run := soundHistory().Runs[0]
	run.BeganAt, run.AnsweredAt, run.Status = at, at+100*time.Millisecond, status
	return run
}

func TestJudge(t *testing.T) {
	killedAt := func(at time.Duration) Fault {
		return Fault{Trouble: Trouble{Kind: Kill, Machine: "store-1"}, From: at, Until: at + time.Second}
	}
	cases := map[string]struct {
		change func(h *History)
		want   []Rule
	}{
		"sound":             {func(*History) {}, nil},
		"runs again":        {func(h *History) { h.Runs = append(h.Runs, again(20*time.Second, 200)) }, []Rule{Twice}},
		"another body":      {func(h *History) { h.Runs[0].BodyHash++ }, []Rule{Mixed}},
		"another order key": {func(h *History) { h.Runs[0].OrderKey = []byte("x") }, []Rule{Mixed}},
		"another stamp":     {func(h *History) { h.States[0].Stamp = "x" }, []Rule{Mixed}},
		"began early":       {func(h *History) { h.Runs[0].BeganAt = 1500 * time.Millisecond }, []Rule{Order}},
		"ran although refused": {func(h *History) {
			h.Attempts[0].Status, h.States = http.StatusServiceUnavailable, nil
		}, []Rule{Refused}},
		"no state": {func(h *History) { h.States[0] = FinalState{RequestID: "1", Status: 404} }, []Rule{Lost}},
		"queued for good": {func(h *History) {
			h.Runs, h.States[0].State, h.States[0].BodyStatus, h.States[0].BodyHash = nil, stateQueued, 200, 7
		}, []Rule{Lost}},
		"dead without a reason": {func(h *History) {
			h.Runs, h.States[0].State, h.States[0].BodyStatus, h.States[0].BodyHash = nil, stateDead, 200, 7
		}, []Rule{Lost}},
		"body gone": {func(h *History) {
			h.Runs[0].Status, h.Runs[0].Stamp, h.States[0] = 422, "", FinalState{RequestID: "1", Status: 200, State: stateDead, BodyStatus: 503}
		}, []Rule{Lost}},
		"ran again in a trouble": {func(h *History) {
			h.Runs, h.Faults = append(h.Runs, again(20*time.Second, 200)), []Fault{killedAt(18 * time.Second)}
		}, nil},
		"ran again long after a trouble": {func(h *History) {
			h.Runs, h.Faults = append(h.Runs, again(20*time.Second, 200)), []Fault{killedAt(10 * time.Second)}
		}, []Rule{Twice}},
		"failed too often": {func(h *History) {
			h.Runs = nil
			for i := range 11 {
				h.Runs = append(h.Runs, again(time.Duration(2+i)*time.Second, 500))
			}
			h.States[0] = FinalState{RequestID: "1", Status: 200, State: stateDead, BodyStatus: 200, BodyHash: 7}
		}, []Rule{Budget}},
		"overtaken": {func(h *History) {
			later := h.Attempts[0]
			later.RequestID, later.SentAt, later.AnsweredAt, later.Delay = "2", 1200*time.Millisecond, 1300*time.Millisecond, 0
			h.Attempts = append(h.Attempts, later)
			run := again(1400*time.Millisecond, 200)
			run.RequestID = "2"
			h.Runs = append(h.Runs, run)
			h.States = append(h.States, FinalState{RequestID: "2", Status: 200, State: stateCompleted, Stamp: "s"})
		}, []Rule{Order}},
		"no answer": {func(h *History) {
			h.Attempts = append(h.Attempts, Attempt{RequestID: "2", SentAt: 30 * time.Second, AnsweredAt: 31 * time.Second})
		}, []Rule{NoAnswer}},
		"process ended": {func(h *History) { h.Exits = []Exit{{Machine: "store-1", At: time.Second}} }, []Rule{Ended}},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			history := soundHistory()
			each.change(history)
			var rules []Rule
			for _, violation := range Judge(history) {
				rules = append(rules, violation.Rule)
			}
			assert.DeepEqual(t, rules, each.want)
		})
	}
}

func TestJudgeCountsArrivalsAtALimitedService(t *testing.T) {
	history := &History{Limits: []Limit{{Service: string(Plain), PerSecond: 10, From: 0, Until: time.Minute}}}
	for i := range 61 {
		id := string(rune('a' + i))
		history.Attempts = append(history.Attempts, Attempt{RequestID: id, Route: Plain, Status: http.StatusBadGateway})
		history.Runs = append(history.Runs, Run{RequestID: id, BeganAt: time.Duration(i) * 83 * time.Millisecond})
	}
	assert.Equal(t, Judge(history)[0].Rule, Ceiling) // 61 within 5 s; 60 are allowed
	history.Runs = history.Runs[:60]
	assert.Equal(t, len(Judge(history)), 0)
}

func TestDrawnPlansAreValidAndRepeatable(t *testing.T) {
	for seed := range uint64(200) {
		plan := DrawPlan(seed)
		assert.NilError(t, plan.check())
		assert.DeepEqual(t, plan, DrawPlan(seed))
		lost := 0
		for _, trouble := range plan.Troubles {
			if trouble.Kind == LoseDisk {
				lost++
			}
		}
		assert.Assert(t, lost <= 1 && len(plan.Troubles) > 0 && len(plan.Bursts) > 0)
	}
}

func TestPlanIsReadAsItWasWritten(t *testing.T) {
	path := t.TempDir() + "/plan.json"
	plan := DrawPlan(3)
	assert.NilError(t, plan.Write(path))
	read, err := ReadPlan(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, plan)
	plan.Troubles = append(plan.Troubles, Trouble{Kind: Kill, Machine: "store-9"})
	assert.NilError(t, plan.Write(path))
	_, err = ReadPlan(path)
	assert.ErrorContains(t, err, `there is no "store-9"`)
}

func TestShrinkKeepsWhatBreaksARule(t *testing.T) {
	plan := DrawPlan(3)
	plan.Troubles = nil
	for i := range 7 {
		plan.Troubles = append(plan.Troubles, Trouble{AtMS: i, Kind: KillStores})
	}
	needed := []int{2, 5}
	smallest := Shrink(plan, 100, func(smaller *Plan) bool {
		for _, at := range needed {
			if !slices.ContainsFunc(smaller.Troubles, func(trouble Trouble) bool { return trouble.AtMS == at }) {
				return false
			}
		}
		return true
	})
	assert.Equal(t, len(smallest.Troubles), len(needed))
	assert.Equal(t, len(smallest.Bursts), 0)
	assert.Equal(t, len(plan.Troubles), 7)
}
