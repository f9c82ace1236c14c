package decision

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	gohash "hash"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// goldenEvents is the least number of events in the golden stream.
const goldenEvents = 1_000_000

// actionDigest hashes every action that follows from a stream of events. It hashes the values of the actions
// only, so that renaming a field or a type preserves the hash and a changed decision does not.
type actionDigest struct {
	sum    gohash.Hash
	events int
}

func newActionDigest() *actionDigest { return &actionDigest{sum: sha256.New()} }

func (a *actionDigest) observe(now time.Duration, actions []Action) {
	a.events++
	a.number(uint64(now))
	a.number(uint64(len(actions)))
	for _, action := range actions {
		a.number(uint64(action.Kind))
		a.number(uint64(boolToInt(action.On)))
		a.number(uint64(action.Job))
		a.number(uint64(action.Worker))
		a.number(uint64(action.Attempt))
		a.number(uint64(action.Token))
		a.number(uint64(action.Peer))
		a.number(uint64(action.Timeout))
		a.number(uint64(action.Delay))
		a.number(uint64(action.RetryAfter))
		a.number(uint64(len(action.Data)))
		a.sum.Write(action.Data)
	}
}

func (a *actionDigest) number(value uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], value)
	a.sum.Write(buffer[:])
}

func (a *actionDigest) String() string { return hex.EncodeToString(a.sum.Sum(nil)[:16]) }

// The actions of a long stream of events of all kinds, at many settings, must match the hash that was
// recorded before the decision module was split into components. The hash must not be edited to make the test
// pass.
func TestGoldenActionStream(t *testing.T) {
	const want = "c02a95d8a10fdab65c71ae5ca6fe7e9f"
	digest := newActionDigest()
	reports := func(s *Settings) {
		s.ReportsLoad, s.ParallelAttempts, s.Report = true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
	}
	for seed, change := range []func(*Settings){
		func(*Settings) {}, reports, sharedFleetSettings, costlyZoneSettings,
		func(s *Settings) { s.DrainCloseWithin, s.RejectionUnproven = 300*time.Millisecond, true },
		func(s *Settings) {
			s.Discovery, s.MaxAttempts, s.RetryAfter, s.MaxRetryAfter = DiscoveryPush, 0, true, time.Second
		},
	} {
		s := testSettings()
		change(&s)
		runGoldenStream(t, digest, uint64(seed), s, 4000)
	}
	for seed := uint64(100); digest.events < goldenEvents; seed++ {
		runGoldenStream(t, digest, seed, randomSettings(rand.New(rand.NewPCG(seed, 5))), 4000)
	}
	if got := digest.String(); got != want {
		t.Errorf("actions of %d events have hash %s, want recorded hash %s", digest.events, got, want)
	}
}

// runGoldenStream feeds a seeded stream of valid and invalid events to one dispatcher and adds its actions to
// the digest.
func runGoldenStream(t *testing.T, digest *actionDigest, seed uint64, s Settings, steps int) {
	h := &goldenHost{dispatcher: newTestDispatcher(t, s, seed), digest: digest, now: time.Minute,
		rng: rand.New(rand.NewPCG(seed, 11)), classes: max(len(s.Classes), 1),
		open: map[JobID][]WorkerID{}, workers: testWorkers(24)}
	h.feed(Event{Kind: EventList, List: ListCached, Entries: h.workers})
	for range steps {
		h.step()
	}
}

type goldenTimer struct {
	at    time.Duration
	token uint32
}

// goldenHost simulates the host of one dispatcher: its clock, timers, open jobs and workers. All draws come
// from one source.
type goldenHost struct {
	dispatcher *Dispatcher
	digest     *actionDigest
	rng        *rand.Rand
	now        time.Duration
	nextJob    JobID
	classes    int
	jobs       []JobID // open, in order of arrival
	open       map[JobID][]WorkerID
	timers     []goldenTimer
	workers    []Entry
}

func (h *goldenHost) feed(ev Event) {
	actions := h.dispatcher.Handle(h.now, &ev, nil)
	h.digest.observe(h.now, actions)
	for _, action := range actions {
		switch action.Kind {
		case Send:
			h.open[action.Job] = append(h.open[action.Job], action.Worker)
		case Reject, Fail:
			h.removeJob(action.Job)
		case SetTimer:
			h.timers = append(h.timers, goldenTimer{at: h.now + action.Delay, token: action.Token})
		}
	}
}

func (h *goldenHost) removeJob(id JobID) {
	delete(h.open, id)
	for i, job := range h.jobs {
		if job == id {
			h.jobs = append(h.jobs[:i:i], h.jobs[i+1:]...)
			return
		}
	}
}

func (h *goldenHost) step() {
	for range h.rng.IntN(3) {
		h.feedJob()
	}
	for range 1 + len(h.jobs)/4 {
		if len(h.jobs) > 0 {
			h.progress(h.jobs[h.rng.IntN(len(h.jobs))])
		}
	}
	switch h.rng.IntN(40) {
	case 0:
		h.changeList()
	case 1:
		h.feedInvalidEvents()
	}
	h.advance(time.Duration(1+h.rng.IntN(15)) * time.Millisecond)
}

func (h *goldenHost) feedJob() {
	h.nextJob++
	h.jobs = append(h.jobs, h.nextJob)
	h.feed(Event{Kind: EventJob, Job: h.nextJob, Class: h.rng.IntN(h.classes), Tenant: h.rng.IntN(8) - 1,
		Key: uint64(h.rng.IntN(2)) * h.rng.Uint64N(60), Slots: float64(1 + h.rng.IntN(3)), Retry: h.rng.IntN(10) == 0,
		Deadline: h.now + time.Duration(20+h.rng.IntN(4000))*time.Millisecond})
}

// progress sends an event about one attempt of the job. The attempt may have ended, in which case the
// dispatcher must ignore the event.
func (h *goldenHost) progress(id JobID) {
	sent := h.open[id]
	if len(sent) == 0 {
		if h.rng.IntN(20) == 0 {
			h.feed(Event{Kind: EventClientLeft, Job: id})
			h.removeJob(id)
		}
		return
	}
	attempt := h.rng.IntN(len(sent))
	about := Event{Job: id, Attempt: attempt, Worker: sent[attempt]}
	switch chance := h.rng.IntN(100); {
	case chance < 35:
		about.Kind, about.Progress = EventJobProgress, JobStarted
	case chance < 40:
		about.Kind, about.Progress, about.Value = EventJobProgress, JobAdvanced, h.rng.Float64()
	case chance < 42:
		about.Kind = EventStreamStarted
	case chance < 75:
		about.Kind, about.Outcome, about.JobEnded, about.Load = EventOutcome, OK, true, h.load()
	case chance < 95:
		about.Kind, about.Outcome, about.Load = EventOutcome, Outcome(int(Error)+h.rng.IntN(7)), h.load()
	case chance < 97:
		about.Kind = EventClientLeft
	default:
		return
	}
	h.feed(about)
	if about.Kind == EventClientLeft || about.Kind == EventOutcome && about.JobEnded {
		h.removeJob(id)
	}
}

func (h *goldenHost) load() Load {
	load := Load{Count: h.rng.IntN(5)}
	for i := range load.Values {
		load.Values[i] = float64(h.rng.IntN(6))
	}
	return load
}

func (h *goldenHost) changeList() {
	e := &h.workers[h.rng.IntN(len(h.workers))]
	if e.State = State(h.rng.IntN(3)); e.State == Ready && h.rng.IntN(2) == 0 {
		e.Started = h.now
	}
	switch h.rng.IntN(5) {
	case 0:
		h.feed(Event{Kind: EventList, List: ListFailed})
	case 1:
		h.feed(Event{Kind: EventList, List: ListFull, Entries: append([]Entry(nil), h.workers...)})
	case 2:
		h.feed(Event{Kind: EventList, List: ListCached, Entries: append([]Entry(nil), h.workers[:12]...)})
	default:
		h.feed(Event{Kind: EventList, List: ListDelta, Entries: []Entry{*e}})
	}
}

// feedInvalidEvents sends events that no host should send: unknown jobs, timers and workers, and meaningless
// values.
func (h *goldenHost) feedInvalidEvents() {
	for _, ev := range []Event{
		{Kind: EventOutcome, Job: h.nextJob + 1000, Outcome: OK},
		{Kind: EventJobProgress, Job: h.nextJob, Attempt: 99, Progress: JobStarted},
		{Kind: EventTimer, Token: 1 << 30},
		{Kind: EventHealthChecked, Worker: 13, Outcome: OK},
		{Kind: EventPeerMessage, From: 3, Data: []byte("note")},
		{Kind: EventList, List: ListDelta, Entries: []Entry{{Worker: 13, Kind: 200, Zone: -4, Weight: math.NaN(), State: Ready}}},
		{Kind: EventJob, Job: h.nextJob, Class: 99, Tenant: -5, Slots: math.Inf(1)},
	} {
		h.feed(ev)
	}
}

func (h *goldenHost) advance(by time.Duration) {
	h.now += by
	timers := h.timers
	h.timers = nil
	for _, timer := range timers {
		if timer.at > h.now {
			h.timers = append(h.timers, timer)
			continue
		}
		h.feed(Event{Kind: EventTimer, Token: timer.token})
	}
}
