package decision

import (
	"math"
	"slices"
	"time"
)

// sampleWeight is the weight of a sample in running means: a mean follows some twenty samples.
const sampleWeight = 0.05

// guessDivisor gives the part of its latency target that a class's answers are guessed to take.
const guessDivisor = 2

// firstAnswers is how many answers a kind's guessed slowness counts as: the first ones change it quickly.
const firstAnswers = 4

// slownessWeight is the least weight of an answer in its kind's slowness, which all its workers share.
const slownessWeight = sampleWeight / 4

// maxSlowness is how many times slower, or faster, than the reference kind a kind may count as.
const maxSlowness = 32

// maxRelativeRun is the largest multiple of the expected run time that a sample counts as: one job that
// takes very long says little.
const maxRelativeRun = 10

// minRunSeconds and maxRunSeconds bound a job's run time. Both lines of a short job, its start and its end,
// may come in one write, so that it seems to take no time.
const (
	minRunSeconds = 1e-4
	maxRunSeconds = 3600
)

// learnedTimes holds what answers tell of times. A job's run time is its class's time on the reference kind
// times the slowness of its worker's kind. The reference kind is the first one, by its number, that has
// answered: tied to a kind without workers, both factors would drift apart.
type learnedTimes struct {
	answerSeconds  []float64 // by class: mean from send to answer
	runSeconds     []float64 // by class: mean run time on the reference kind
	meanRunSeconds float64   // over all answers: mean run time on the reference kind
	slowness       []float64 // by kind: run time relative to that on the reference kind
	middleSlowness float64   // the median over the kinds: a job's own running time is that on such a kind
	answers        []float64 // by kind: number of OK answers of warm workers
}

// newLearnedTimes guesses all times by the latency targets, alike for all kinds.
func newLearnedTimes(settings *Settings) *learnedTimes {
	t := &learnedTimes{
		middleSlowness: 1,
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

// observedRun is the run time of an attempt that has just ended with an answer, in seconds. An attempt of
// which no start was told counts from its send.
func observedRun(attempt *attemptState, now time.Duration) float64 {
	ran := now - max(attempt.startedAt, attempt.sentAt)
	return min(max(ran.Seconds(), minRunSeconds), maxRunSeconds)
}

// observeAnswer takes the time from send to answer into the class's mean.
func (t *learnedTimes) observeAnswer(class int, took time.Duration) {
	t.answerSeconds[class] += sampleWeight * (took.Seconds() - t.answerSeconds[class])
}

// observeRun takes a run time, in seconds, at a worker of a kind into the means, and returns it relative to
// the one that was expected there.
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

// referenceKind is the first kind that has answered, -1 before any answer.
func (t *learnedTimes) referenceKind() int {
	return slices.IndexFunc(t.answers, func(answers float64) bool { return answers > 0 })
}

// adjustSlowness moves the slowness of a kind towards a run time relative to the expected one.
func (t *learnedTimes) adjustSlowness(kind int, relative float64) {
	weight := max(slownessWeight, 1/(t.answers[kind]+firstAnswers))
	adjusted := t.slowness[kind] * (1 + weight*(relative-1))
	t.slowness[kind] = min(max(adjusted, 1./maxSlowness), maxSlowness)
	t.middleSlowness = slices.Sorted(slices.Values(t.slowness))[len(t.slowness)/2]
}

// stretchSeconds is how much a class's latency target grows with a job's own running time, beyond
// that time itself.
func (t *learnedTimes) stretchSeconds(job *jobState, class *ClassSettings) float64 {
	return max(class.Stretch-1, 0) * t.runSeconds[job.Class]
}

// valueDensity is the value of a job of a class for its running time. Where value grows with the work it is
// as dense in a long job as in a short one.
func (t *learnedTimes) valueDensity(class int, settings *Settings) float64 {
	fixedValue := float64(count(!settings.ValueByWork))
	return settings.Classes[class].Value / math.Pow(t.runSeconds[class], fixedValue)
}
