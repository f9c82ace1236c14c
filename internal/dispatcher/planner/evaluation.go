package planner

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gladepick/internal/dispatcher/fleetsim"
)

// Estimate is a mean over days with half the width of its two-sided confidence interval.
type Estimate struct {
	Mean      float64 `json:"mean"`
	HalfWidth float64 `json:"reach"`
	Days      int     `json:"days"`
}

// String returns the mean and the half-width of its interval.
func (e Estimate) String() string { return fmt.Sprintf("%.3f ± %.3f", e.Mean, e.HalfWidth) }

// estimate returns the mean of the days' values with its two-sided confidence interval.
func (p *Planner) estimate(values []float64) Estimate {
	mean, halfWidth := confidenceInterval(values, 1-(1-p.Confidence)/2)
	return Estimate{mean, halfWidth, len(values)}
}

// confidenceInterval returns the mean of at least two values and, by Student's t distribution, the greatest distance of
// the true mean to one side of it at the given confidence.
func confidenceInterval(values []float64, confidence float64) (mean, halfWidth float64) {
	mean, deviation := stat.MeanStdDev(values, nil)
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(confidence) * deviation / math.Sqrt(float64(len(values)))
}

// Finding is the result of one test of the goal.
type Finding struct {
	Test  string   `json:"test"`
	With  string   `json:"with,omitempty"`
	Value Estimate `json:"value"`
	Holds bool     `json:"holds"`
}

// evaluation is the result of all tests on one fleet and load.
type evaluation struct {
	holds       bool // whether every test holds with the confidence asked for
	findings    []Finding
	slack       float64  // mean slack of the test with the least one
	score       Estimate // of the first clause
	utilization []string // of each kind of worker, on the first clause's days
}

// evaluate tests each clause of the goal. It simulates days of a clause until all its tests hold or one fails with the
// confidence asked for, or MaxDays is reached. A test that is undecided by then does not hold.
func (p *Planner) evaluate(fleet *fleetsim.Fleet, load *fleetsim.Load) (*evaluation, error) {
	key := fmt.Sprintf("%v|%v", *fleet, *load)
	if eval := p.cache[key]; eval != nil {
		return eval, nil
	}
	eval := &evaluation{holds: true, slack: math.Inf(1)}
	for i, clause := range p.Goal.Clauses {
		result, days, err := p.evaluateClause(clause, fleet, load)
		if err != nil {
			return nil, err
		}
		eval.findings = append(eval.findings, result.findings...)
		eval.holds = eval.holds && !result.undecided && !result.refuted
		eval.slack = min(eval.slack, result.slack)
		if i == 0 {
			var scores []float64
			for _, day := range days {
				scores = append(scores, day.Score)
			}
			eval.score, eval.utilization = p.estimate(scores), describeUtilization(fleet, days)
		}
	}
	p.cache[key] = eval
	return eval, nil
}

// evaluateClause simulates days of one clause until its result is decided or MaxDays is reached.
func (p *Planner) evaluateClause(clause *Clause, fleet *fleetsim.Fleet, load *fleetsim.Load) (*clauseResult, []*fleetsim.Result, error) {
	clauseFleet, clauseLoad := clause.apply(*fleet, *load)
	var days []*fleetsim.Result
	for {
		more, err := p.simulateDays(clauseFleet, clauseLoad, len(days), min(daysPerBatch, p.MaxDays-len(days)))
		if err != nil {
			return nil, nil, err
		}
		days = append(days, more...)
		result := p.applyTests(clause, clauseFleet, days)
		if result.refuted || !result.undecided || len(days) >= p.MaxDays {
			return result, days, nil
		}
	}
}

// clauseResult is the result of a clause's tests on some days.
type clauseResult struct {
	findings  []Finding
	slack     float64 // mean slack of the test with the least one
	undecided bool    // the days neither confirm nor refute some test with the confidence asked for
	refuted   bool    // some test fails with the confidence asked for
}

// applyTests applies a clause's tests to simulated days.
func (p *Planner) applyTests(clause *Clause, fleet *fleetsim.Fleet, days []*fleetsim.Result) *clauseResult {
	result := &clauseResult{slack: math.Inf(1)}
	for _, test := range clause.Tests {
		var values, slacks []float64
		for _, day := range days {
			values = append(values, test.measure(fleet, day))
			slacks = append(slacks, test.slack(fleet, day))
		}
		// The interval is one-sided, as a slack greater than the mean does no harm.
		mean, halfWidth := confidenceInterval(slacks, p.Confidence)
		holds := mean >= halfWidth
		result.undecided = result.undecided || !holds && mean >= -halfWidth
		result.refuted = result.refuted || mean < -halfWidth
		result.slack = min(result.slack, mean)
		result.findings = append(result.findings, Finding{Test: test.String(), With: clause.conditionsText(), Value: p.estimate(values), Holds: holds})
	}
	return result
}
