// What a day came to: the service score as the brief counts it, and what
// stood in the way of more.

package fleetsim

import (
	"math"
	"time"
)

type verdict uint8

const (
	served verdict = iota
	refused
	failed
)

// Tally is worth asked and earned, and requests by how they ended.
type Tally struct {
	Asked  float64 `json:"asked"`  // worth
	Earned float64 `json:"earned"` // worth
	Jobs   int     `json:"jobs"`
	InTime int     `json:"in_time"`
	Late   int     `json:"late"`
	Lost   int     `json:"lost"` // refused or failed for good
}

// Service is the share of the worth that was earned; 1 where none was asked.
func (t *Tally) Service() float64 {
	if t.Asked == 0 {
		return 1
	}
	return t.Earned / t.Asked
}

// Machines is what the machines of a kind did.
type Machines struct {
	Count  int     `json:"count"`
	Done   int     `json:"done"`
	Busy   float64 `json:"busy"`    // share of the slots' time at work
	Full   int     `json:"full"`    // jobs turned away by a full waiting room
	NoConn int     `json:"no_conn"` // connections turned away
}

// Result is what a day came to.
type Result struct {
	Score        float64        `json:"score"` // as the brief weighs it
	Whole        Tally          `json:"whole"`
	Classes      []Tally        `json:"classes"`
	Universities []Tally        `json:"universities"` // within their shares
	Seconds      []Tally        `json:"seconds"`      // by the second in which the request came
	Kinds        []Machines     `json:"kinds"`
	Worst10      float64        `json:"worst_10_s"`
	Tries        int            `json:"tries"`
	Repeats      int            `json:"repeats"`
	Refusals     int            `json:"refusals"` // by the module
	Turned       int            `json:"turned"`   // at the door: too many open jobs
	Sent         int            `json:"sent"`
	Dialled      int            `json:"dialled"`
	Crossed      int            `json:"crossed"` // sends to another zone
	NoLink       int            `json:"no_link"` // sends for which a dispatcher had no connection left
	Open         int            `json:"open"`    // most open jobs at a dispatcher
	Outcomes     [9]int         `json:"outcomes"`
	Broken       map[string]int `json:"broken"` // rules, by name
	Worked       float64        `json:"worked"` // seconds on a core of speed 1
	Events       int            `json:"events"`
	Decisions    int            `json:"decisions"`
	Span         time.Duration  `json:"span"`
	Cut          bool           `json:"cut"`
}

func newResult(s *site) *Result {
	r := &Result{Broken: map[string]int{}, Classes: make([]Tally, len(s.Classes)), Universities: make([]Tally, len(s.Universities)),
		Kinds: make([]Machines, len(s.Kinds)), Seconds: make([]Tally, int(math.Ceil(s.load.Seconds)))}
	for _, g := range s.Workers {
		r.Kinds[s.kind[g.Kind]].Count += g.Count
	}
	return r
}

// tallies are those that a request counts in.
func (r *Result) tallies(q *request) []*Tally {
	out := []*Tally{&r.Whole, &r.Classes[q.class], &r.Seconds[min(int(q.came.Seconds()), len(r.Seconds)-1)]}
	if q.within {
		out = append(out, &r.Universities[q.tenant])
	}
	return out
}

// worth is what a request is worth in time.
func (s *site) worth(q *request) float64 {
	w := s.Classes[q.class].Worth
	if !q.within {
		w *= s.OverWorth
	}
	return w
}

func (r *Result) asked(s *site, q *request) {
	for _, t := range r.tallies(q) {
		t.Asked += s.worth(q)
		t.Jobs++
	}
}

func (r *Result) ended(s *site, q *request, v verdict, took time.Duration) {
	c := &s.Classes[q.class]
	worth := 0.0
	inTime := v == served && took <= sec(c.AimS+c.Stretch*q.work)
	switch {
	case inTime:
		worth = s.worth(q)
	case v == served:
		worth = s.worth(q) * c.LateWorth
	}
	for _, t := range r.tallies(q) {
		t.Earned += worth
		switch {
		case inTime:
			t.InTime++
		case v == served:
			t.Late++
		default:
			t.Lost++
		}
	}
}

// weigh gives the score: 40 % the whole, 15 % the worst 10 s, 20 % the worst class, 25 % the worst university within its
// share.
func (r *Result) weigh() {
	r.Worst10 = 1
	width := min(10, len(r.Seconds))
	for i := 0; i+width <= len(r.Seconds); i++ {
		var t Tally
		for _, s := range r.Seconds[i : i+width] {
			t.Asked += s.Asked
			t.Earned += s.Earned
		}
		r.Worst10 = min(r.Worst10, t.Service())
	}
	class, university := 1.0, 1.0
	for i := range r.Classes {
		class = min(class, r.Classes[i].Service())
	}
	for i := range r.Universities {
		university = min(university, r.Universities[i].Service())
	}
	r.Score = 0.4*r.Whole.Service() + 0.15*r.Worst10 + 0.2*class + 0.25*university
}

// finish closes a day's book and looks for what must not be left.
func (d *day) finish() {
	r := d.res
	r.Span = d.now
	r.weigh()
	for _, w := range d.workers {
		w.count()
		k := &r.Kinds[w.k]
		k.Busy += w.busy / max(d.now.Seconds()*float64(w.kind.Slots)*float64(k.Count), 1e-9)
	}
	if left := d.pending; left > 0 && !r.Cut {
		r.Broken["no answer"] += left
	}
	for _, n := range d.nodes {
		for _, t := range n.jobs {
			if !t.answered && !r.Cut {
				r.Broken["no answer"]++
			}
		}
	}
}

// Book counts requests as they come and end, for days that are played elsewhere: on sockets.
type Book struct {
	s       *site
	res     *Result
	buckets []bucket
	number  uint64
}

func newBook(s *site) *Book {
	return &Book{s: s, res: newResult(s), buckets: make([]bucket, len(s.Universities))}
}

// NewBook makes a book for a day of a fleet and a load.
func NewBook(f *Fleet, l *Load) (*Book, error) {
	s, err := together(f, l)
	if err != nil {
		return nil, err
	}
	return newBook(s), nil
}

// Request books that a request has come. Exactly one call of what it returns must follow, with its end.
func (b *Book) Request(a Arrival) (ended func(served bool, took time.Duration)) {
	q := b.request(a)
	return func(ok bool, took time.Duration) {
		v := failed
		if ok {
			v = served
		}
		b.res.ended(b.s, q, v, took)
	}
}

// Close gives what the day came to.
func (b *Book) Close() *Result {
	b.res.weigh()
	return b.res
}
