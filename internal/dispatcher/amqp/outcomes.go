package amqp

import (
	"container/list"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// outcomes remembers, for a while and in bounded memory, what became of each keyed job.
type outcomes struct {
	retention time.Duration
	maxCount  int // of answers
	maxBytes  int // of results

	mu       sync.Mutex
	bytes    int
	byName   map[string]*outcome
	answered *list.List // of outcomes with an answer, the oldest first
}

// outcome is a job that is open, or its answer.
type outcome struct {
	name       string
	waiting    []delivery // while it is open
	answer     *dispatch.Answer
	answeredAt time.Time
	element    *list.Element // in answered
}

// known is what is remembered of a delivery's name. Where no field is set it is new, and its outcome is open now.
type known struct {
	joined bool             // the job is open: the delivery waits for its answer
	lost   bool             // it came before, and what became of it is not remembered any more
	answer *dispatch.Answer // it has been answered
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

// enter looks a name up. A broker's second delivery gets the first one's answer, whatever it is; a client's own retry
// gets it only where it is a served one, since the others invite it to try again.
func (o *outcomes) enter(name string, keyed bool, d delivery) known {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trim()
	e := o.byName[name]
	switch {
	case e != nil && e.answer == nil:
		e.waiting = append(e.waiting, d)
		return known{joined: true}
	case e != nil && (d.Redelivered || keyed && e.answer.Kind == dispatch.Served):
		return known{answer: e.answer}
	case e == nil && d.Redelivered && keyed:
		return known{lost: true}
	case e != nil:
		o.forget(e)
	}
	o.byName[name] = &outcome{name: name, waiting: []delivery{d}}
	return known{}
}

// complete notes the answer of a job that is open, and returns the deliveries that wait for it.
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
	o.trim()
	return waiting
}

// forget drops an outcome that has an answer. The lock is held.
func (o *outcomes) forget(e *outcome) {
	o.answered.Remove(e.element)
	o.bytes -= len(e.answer.Result)
	delete(o.byName, e.name)
}

// trim forgets what is too old, and the oldest where there is too much. The lock is held.
func (o *outcomes) trim() {
	for front := o.answered.Front(); front != nil; front = o.answered.Front() {
		e := front.Value.(*outcome)
		if time.Since(e.answeredAt) <= o.retention && o.answered.Len() <= o.maxCount && o.bytes <= o.maxBytes {
			return
		}
		o.forget(e)
	}
}
