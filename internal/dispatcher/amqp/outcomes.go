package amqp

import (
	"container/list"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// outcomes stores the open jobs and the answers of recent ones by name. Answers are evicted by age, number and size.
type outcomes struct {
	retention time.Duration
	maxCount  int // number of answers
	maxBytes  int // total size of the results

	mu       sync.Mutex
	bytes    int
	byName   map[string]*outcome
	answered *list.List // outcomes with an answer, oldest first
}

// outcome is an open job or the answer of a job.
type outcome struct {
	name       string
	waiting    []delivery       // deliveries to answer; nil once there is an answer
	answer     *dispatch.Answer // nil while the job is open
	answeredAt time.Time
	element    *list.Element // in answered
}

// lookupResult is what is known of the job of a delivery. If no field is set, the job is new.
type lookupResult struct {
	joined bool             // the job is open: the delivery waits for its answer
	lost   bool             // the job was delivered before, but its outcome is no longer stored
	answer *dispatch.Answer // the job has this answer
}

func newOutcomes(limits config.Limits) *outcomes {
	return &outcomes{
		retention: limits.OutcomeRetention,
		maxCount:  limits.RetainedOutcomes,
		maxBytes:  limits.RetainedOutcomeBytes,
		byName:    map[string]*outcome{},
		answered:  list.New(),
	}
}

// lookupOrOpen looks up the job with a name, and opens it if it is new. A redelivery by the broker gets the first
// delivery's answer. A client's own retry gets it only if the answer is Served, because the other answers ask the
// client to retry.
func (o *outcomes) lookupOrOpen(name string, keyed bool, d delivery) lookupResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evict()
	e := o.byName[name]
	switch {
	case e != nil && e.answer == nil:
		e.waiting = append(e.waiting, d)
		return lookupResult{joined: true}
	case e != nil && (d.Redelivered || keyed && e.answer.Kind == dispatch.Served):
		return lookupResult{answer: e.answer}
	case e == nil && d.Redelivered && keyed:
		return lookupResult{lost: true}
	case e != nil:
		o.remove(e)
	}
	o.byName[name] = &outcome{name: name, waiting: []delivery{d}}
	return lookupResult{}
}

// complete stores the answer of an open job, and returns the deliveries that wait for it. It returns nil if no job with
// this name is open.
func (o *outcomes) complete(name string, answer dispatch.Answer) []delivery {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := o.byName[name]
	if e == nil || e.answer != nil {
		return nil
	}
	waiting := e.waiting
	e.waiting, e.answer, e.answeredAt = nil, &answer, time.Now()
	e.element = o.answered.PushBack(e)
	o.bytes += len(answer.Result)
	o.evict()
	return waiting
}

// remove removes an outcome that has an answer. The caller holds o.mu.
func (o *outcomes) remove(e *outcome) {
	o.answered.Remove(e.element)
	o.bytes -= len(e.answer.Result)
	delete(o.byName, e.name)
}

// evict removes the outcomes that exceed the retention time, and the oldest ones while there are too many answers or
// bytes. The caller holds o.mu.
func (o *outcomes) evict() {
	for front := o.answered.Front(); front != nil; front = o.answered.Front() {
		e := front.Value.(*outcome)
		if time.Since(e.answeredAt) <= o.retention && o.answered.Len() <= o.maxCount && o.bytes <= o.maxBytes {
			return
		}
		o.remove(e)
	}
}
