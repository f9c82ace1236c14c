package decision

import (
	"math"
	"slices"
	"time"
)

// sampleWeight is the weight of a sample in moving averages, which cover about twenty samples.
const sampleWeight = 0.05

// guessDivisor is the ratio of the latency target of a class to the initial estimate of its answer time.
const guessDivisor = 2

// priorAnswers is the number of answers that the initial slowness of a kind counts as. It is small so that
// the first answers change the estimate quickly.
const priorAnswers = 4

// slownessWeight is the lower bound of the weight of an answer in the slowness of its kind, which all workers
// of the kind share.
const slownessWeight = sampleWeight / 4

// maxSlowness bounds how many times slower or faster than the reference kind a kind counts as.
const maxSlowness = 32

// maxRelativeRun bounds the ratio of a run time to the expected one in a sample. A single job that takes very
// long says little about its worker.
const maxRelativeRun = 10

// Bounds of a job's run time. The messages of the start and the end of a short job may arrive in one write,
// so that the job seems to take no time.
const (
	minRunSeconds = 1e-4
	maxRunSeconds = 3600
)

// learnedTimes holds the answer and run times learned from answers. The run time of a job is that of its
// class on the reference kind times the slowness of its worker's kind. The reference kind is the kind with
// the lowest number that has answered. If a kind without workers were the reference, both factors would
// drift.
type learnedTimes struct {
	answerSeconds  []float64 // by class: mean time from send to answer
	runSeconds     []float64 // by class: mean run time on the reference kind
	meanRunSeconds float64   // over all answers: mean run time on the reference kind
	slowness       []float64 // by kind: run time relative to that on the reference kind
	medianSlowness float64   // over the kinds
	answers        []float64 // by kind: number of OK answers of workers that are warmed up
}

// newLearnedTimes returns initial estimates derived from the latency targets, the same for all kinds.
func newLearnedTimes(settings *Settings) *learnedTimes {
	t := &learnedTimes{
		medianSlowness: 1,
		slowness:       slices.Repeat([]float64{1}, settings.Kinds),
		answers:        make([]float64, settings.Kinds),
	}
	for _, class := range settings.Classes {
		guess := class.LatencyTarget.Seconds() / guessDivisor
		t.answerSeconds = append(t.answerSeconds, guess)
		t.runSeconds = append(t.runSeconds, max(guess, minRunSeconds))
	}
	t.meanRunSeconds = slices.Min(t.runSeconds)
	return t
}

// observedRun returns the run time of an attempt that has just been answered, in seconds. Without a reported
// start it counts from the send.
func observedRun(attempt *attemptState, now time.Duration) float64 {
	ran := now - max(attempt.startedAt, attempt.sentAt)
	return min(max(ran.Seconds(), minRunSeconds), maxRunSeconds)
}

// observeAnswer adds the time from send to answer to the mean of the class.
func (t *learnedTimes) observeAnswer(class int, took time.Duration) {
	t.answerSeconds[class] += sampleWeight * (took.Seconds() - t.answerSeconds[class])
}

// observeRun adds a run time in seconds to the means of its class and kind, and returns its ratio to the
// expected run time.
func (t *learnedTimes) observeRun(class, kind int, ran float64) (relative float64) {
	expected := max(t.runSeconds[class]*t.slowness[kind], minRunSeconds)
	relative = min(ran/expected, maxRelativeRun)
	t.answers[kind]++
	if kind != t.referenceKind() {
		t.adjustSlowness(kind, relative)
	}
	t.meanRunSeconds += sampleWeight * (ran/t.slowness[kind] - t.meanRunSeconds)
	t.runSeconds[class] += sampleWeight * (ran/t.slowness[kind] - t.runSeconds[class])
	return relative
}

// referenceKind returns the lowest kind that has answered, or -1 before any answer.
func (t *learnedTimes) referenceKind() int {
	return slices.IndexFunc(t.answers, func(answers float64) bool { return answers > 0 })
}

// adjustSlowness moves the slowness of a kind towards a run time given relative to the expected one.
func (t *learnedTimes) adjustSlowness(kind int, relative float64) {
	weight := max(slownessWeight, 1/(t.answers[kind]+priorAnswers))
	adjusted := t.slowness[kind] * (1 + weight*(relative-1))
	t.slowness[kind] = min(max(adjusted, 1./maxSlowness), maxSlowness)
	t.medianSlowness = slices.Sorted(slices.Values(t.slowness))[len(t.slowness)/2]
}

// stretchSeconds returns by how much the latency target of a class grows with the job's run time, less that
// run time.
func (t *learnedTimes) stretchSeconds(job *jobState, class *ClassSettings) float64 {
	return max(class.Stretch-1, 0) * t.runSeconds[job.Class]
}

// valueDensity returns the value of a job of a class for its run time. If value grows with the run time,
// long and short jobs of the same value have the same density.
func (t *learnedTimes) valueDensity(class int, settings *Settings) float64 {
	fixedValue := float64(boolToInt(!settings.ValueByWork))
	return settings.Classes[class].Value / math.Pow(t.runSeconds[class], fixedValue)
}
