// The ledger of keyed outcomes.

package amqp

import (
	"container/list"
	"sync"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

// ledger remembers, for a while and in bounded memory, what became of each key.
type ledger struct {
	mu    sync.Mutex
	keep  time.Duration
	most  int
	bytes int
	held  int
	pages map[string]*page
	done  *list.List // pages with an answer, oldest first
}

type page struct {
	name    string
	waiting []parcel
	answer  *dispatch.Answer
	at      time.Time
	place   *list.Element
}

// past is what the ledger knows of a delivery's key. All fields empty: it is new, and its page is open now.
type past struct {
	joined, unknown bool
	answer          *dispatch.Answer
}

// enter looks a key up. A broker's second delivery gets the first one's outcome, whatever it is; a client's own new
// try gets it only where it is a served one, since the others invite it to try.
func (l *ledger) enter(name string, keyed bool, p parcel) past {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim()
	e := l.pages[name]
	switch {
	case e != nil && e.answer == nil:
		e.waiting = append(e.waiting, p)
		return past{joined: true}
	case e != nil && (p.Redelivered || keyed && e.answer.Kind == dispatch.Served):
		return past{answer: e.answer}
	case e == nil && p.Redelivered && keyed:
		return past{unknown: true}
	case e != nil:
		l.forget(e)
	}
	l.pages[name] = &page{name: name, waiting: []parcel{p}}
	return past{}
}

// close writes an outcome down and gives the deliveries that wait for it.
func (l *ledger) close(name string, a dispatch.Answer) []parcel {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.pages[name]
	if e == nil || e.answer != nil {
		return nil
	}
	waiting := e.waiting
	e.waiting, e.answer, e.at = nil, &a, time.Now()
	e.place = l.done.PushBack(e)
	l.held += len(a.Result)
	l.trim()
	return waiting
}

func (l *ledger) forget(e *page) {
	l.done.Remove(e.place)
	l.held -= len(e.answer.Result)
	delete(l.pages, e.name)
}

// trim forgets what is too old, and the oldest where there is too much.
func (l *ledger) trim() {
	for e := l.done.Front(); e != nil; e = l.done.Front() {
		if p := e.Value.(*page); time.Since(p.at) > l.keep || l.done.Len() > l.most || l.held > l.bytes {
			l.forget(p)
			continue
		}
		break
	}
}
