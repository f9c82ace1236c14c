// Durable jobs from their submission to their end.

package durablejobs

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/lease"
)

// storedJob is what is replicated of a job, so that another dispatcher can run it.
type storedJob struct {
	_               struct{} `cbor:",toarray"`
	ID, Key, Target string
	Header          []dispatch.HeaderField
	Body            []byte
	Class, Tenant   string
	AffinityKey     uint64
	Retry           bool
	Slots, Memory   float64
}

// entry is a lease of this dispatcher with what belongs to it here.
type entry struct {
	lease       *lease.Lease
	clientJob   *dispatch.Job // nil: no client waits here
	innerJob    *dispatch.Job // the one that the core has
	id          string
	group       int
	deadline    time.Duration
	requested   map[int]requestedSend // attempts whose intents are proposed
	granted     map[int]bool          // attempts whose intents are committed
	sendBy      atomic.Int64          // on the manager's clock; 0: nothing may be sent
	nextQueryAt time.Duration
	queryToken  uint64
	isClosed    bool
}

// requestedSend is an attempt that waits for its intent, and the transport that is to send it.
type requestedSend struct {
	*dispatch.Attempt
	transport dispatch.Transport
}

// Submit hands a job to the core: at once, or after it is durable. It is the fronts' Submitter.
func (m *Manager) Submit(j *dispatch.Job) error {
	<-m.started
	if !m.isDurable(j.Class) {
		return m.core.Submit(j)
	}
	if !m.isReady.Load() {
		m.Counters.Rejected.Add(1)
		return ErrNotReady
	}
	if m.openJobs.Add(1) > int64(m.limits.OpenJobs) {
		m.openJobs.Add(-1)
		m.Counters.Rejected.Add(1)
		return ErrNotReady
	}
	m.post(func() { m.acquire(j) })
	return nil
}

// Abandon passes on that the client has left. A durable job goes on.
func (m *Manager) Abandon(j *dispatch.Job) {
	if !m.isDurable(j.Class) {
		m.core.Abandon(j)
		return
	}
	m.post(func() {
		if e := m.entryByClientJob[j]; e != nil {
			m.takeClient(e)
			m.carryOutLease(e, e.lease.ClientLeft())
		}
	})
}

func (m *Manager) acquire(j *dispatch.Job) {
	m.crashPoint("before-take")
	class := &m.node.Module.Classes[j.Class]
	now, key := m.wall(), m.node.Classes[j.Class]+"/"+j.IdempotencyKey
	room := min(m.limits.LeaseReserve, j.Timeout/4)
	left := j.Timeout - room
	terms := lease.Terms{RetryWindow: (class.DedupWindow - class.DedupWindow*3/10 - m.options.MaxClockSkew).Milliseconds(), SamePlaceOnly: class.DedupScope != decision.DedupByAll,
		Deadline: now + left.Milliseconds(), Retention: m.options.Retention.Milliseconds(), MaxRecords: max(m.options.MaxJobs/max(m.replicas.Groups(), 1), 1), RequestID: xxhash.Sum64String(j.ID)}
	tenant := ""
	if j.Tenant >= 0 && j.Tenant < len(m.node.Tenants) {
		tenant = m.node.Tenants[j.Tenant]
	}
	body := encode(storedJob{ID: j.ID, Key: j.IdempotencyKey, Target: j.Target, Header: j.Header, Body: j.Body, Class: m.node.Classes[j.Class], Tenant: tenant, AffinityKey: j.AffinityKey,
		Retry: j.Retry, Slots: j.Slots, Memory: j.Memory})
	e := &entry{clientJob: j, id: j.ID, deadline: m.now() + left}
	h, acts := lease.Begin(key, m.owner(), terms, m.sendWindow(class), body, now)
	m.add(e, h)
	m.carryOutLease(e, acts)
}

// sendWindow returns for how long after its intent a send may begin, in ms: what the class's window leaves above
// Terms.RetryWindow.
func (m *Manager) sendWindow(class *decision.ClassSettings) int64 {
	return max((class.DedupWindow/5 - m.options.MaxClockSkew/2).Milliseconds(), 20)
}

func (m *Manager) add(e *entry, h *lease.Lease) {
	e.lease, e.group = h, m.replicas.GroupOf(h.Key)
	e.requested, e.granted = map[int]requestedSend{}, map[int]bool{}
	m.entries[e] = true
	if e.clientJob != nil {
		m.entryByClientJob[e.clientJob] = e
	}
	m.entriesByKey[h.Key] = append(m.entriesByKey[h.Key], e)
}

// carryOutLease carries out the actions of a lease.
func (m *Manager) carryOutLease(e *entry, acts []lease.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lease.Propose:
			m.proposeFor(e, a.Command)
		case lease.Admit:
			m.logEvent(map[string]any{"act": "take", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "owner": m.owner()})
			m.crashPoint("taken")
			m.admit(e)
		case lease.Send:
			m.sendGranted(e, a.Attempt)
		case lease.SkipSend:
			if t, ok := e.requested[a.Attempt]; ok {
				delete(e.requested, a.Attempt)
				t.End(decision.NeverSent, decision.Load{}, nil)
			}
		case lease.Answer:
			verdict := dispatch.Served
			if a.Outcome != lease.Served {
				verdict = dispatch.Failed
			}
			m.logEvent(map[string]any{"act": "tell", "key": e.lease.Key, "id": e.id, "served": a.Outcome == lease.Served, "result": string(a.Result)})
			m.reply(e, dispatch.Answer{Kind: verdict, Result: a.Result})
			m.crashPoint("told")
		case lease.Reject:
			m.reply(e, dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: m.limits.RetryAfter})
		case lease.AwaitOwner:
			e.sendBy.Store(0)
			e.nextQueryAt = m.now()
		case lease.Retry:
			time.AfterFunc(200*time.Millisecond, func() {
				m.post(func() {
					if !e.isClosed {
						m.admit(e)
					}
				})
			})
		case lease.Closed:
			m.drop(e)
		}
	}
}

func (m *Manager) reply(e *entry, a dispatch.Answer) {
	if j := m.takeClient(e); j != nil {
		j.Reply(a)
	}
}

// takeClient takes the client's job off an entry.
func (m *Manager) takeClient(e *entry) *dispatch.Job {
	j := e.clientJob
	delete(m.entryByClientJob, j)
	e.clientJob = nil
	return j
}

// drop forgets an entry. An attempt of it that the core has goes on without anybody to answer.
func (m *Manager) drop(e *entry) {
	if e.isClosed {
		return
	}
	e.isClosed = true
	e.sendBy.Store(0)
	for n, t := range e.requested {
		delete(e.requested, n)
		t.End(decision.NeverSent, decision.Load{}, nil)
	}
	if e.queryToken != 0 {
		m.replicas.Cancel(e.queryToken)
		delete(m.callbacks, e.queryToken)
	}
	m.reply(e, dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: m.limits.RetryAfter})
	delete(m.entries, e)
	delete(m.entryByInnerJob, e.innerJob)
	m.entriesByKey[e.lease.Key] = slices.DeleteFunc(m.entriesByKey[e.lease.Key], func(x *entry) bool { return x == e })
	if len(m.entriesByKey[e.lease.Key]) == 0 {
		delete(m.entriesByKey, e.lease.Key)
	}
	m.openJobs.Add(-1)
}

// proposeFor proposes a command of a lease. An outcome is proposed for some time longer than any client waits.
func (m *Manager) proposeFor(e *entry, c *lease.Command) {
	until := e.deadline
	switch c.Kind {
	case lease.IntendSend:
		m.crashPoint("before-intent")
	case lease.Finish, lease.Release:
		until = max(e.deadline, m.now()) + m.limits.LeaseNotifyWindow
	}
	m.propose(e.group, c, max(until, m.now()+m.limits.LeaseReserve), func(r lease.Response, err error) {
		if e.isClosed {
			return
		}
		if err != nil {
			m.carryOutLease(e, e.lease.HandleUnknownOutcome(c))
			return
		}
		switch {
		case r.Decision == lease.Fenced:
			m.Counters.Fenced.Add(1)
		case r.Decision == lease.Forbidden:
			m.Counters.Forbidden.Add(1)
		case r.Decision == lease.Granted && c.Kind == lease.Acquire:
			m.Counters.Acquired.Add(1)
		case r.Decision == lease.OwnedElsewhere:
			m.Counters.OwnedElsewhere.Add(1)
		case r.Decision == lease.AlreadyFinished && c.Kind == lease.Acquire:
			m.Counters.AlreadyFinished.Add(1)
		case r.Decision == lease.Granted && c.Kind == lease.IntendSend:
			m.logEvent(map[string]any{"act": "intent", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "attempt": c.Attempt, "owner": m.owner()})
			m.crashPoint("intended")
		case r.Decision == lease.Granted && c.Kind == lease.Finish:
			m.logEvent(map[string]any{"act": "end", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "served": c.Outcome == lease.Served, "result": string(c.Result)})
			m.crashPoint("ended")
		}
		m.carryOutLease(e, e.lease.HandleResponse(c, r))
	})
}

// admit hands a job to the core.
func (m *Manager) admit(e *entry) {
	var j storedJob
	if err := cbor.Unmarshal(e.lease.Job(), &j); err != nil {
		slog.Error("a promise that cannot be read", "key", e.lease.Key, "error", err)
		m.carryOutLease(e, e.lease.Finish(0, nil, m.wall()))
		return
	}
	e.id = j.ID
	left := e.deadline - m.now()
	inner := &dispatch.Job{ID: j.ID, IdempotencyKey: j.Key, Target: j.Target, Header: j.Header, Body: j.Body, Class: config.Index(m.node.Classes, j.Class),
		Tenant: config.Index(m.node.Tenants, j.Tenant), AffinityKey: j.AffinityKey, Retry: j.Retry, Slots: j.Slots, Memory: j.Memory,
		Timeout: left - min(m.limits.LeaseReserve, left/4)}
	if inner.Class < 0 || inner.Tenant < 0 && len(m.node.Tenants) > 0 || inner.Timeout <= 0 {
		m.carryOutLease(e, e.lease.Finish(0, nil, m.wall()))
		return
	}
	inner.MayStart = func() bool { return int64(m.now()) < e.sendBy.Load() }
	inner.OnAttemptEnd = func(a *dispatch.Attempt, o decision.Outcome) {
		never := o == decision.Rejected && !m.node.Module.RejectionUnproven || o == decision.ConnectFailed || o == decision.NeverSent
		n := a.Number()
		m.post(func() {
			if delete(e.requested, n); e.granted[n] && e.innerJob == inner {
				delete(e.granted, n)
				e.lease.AttemptEnded(never)
			}
		})
	}
	inner.Reply = func(a dispatch.Answer) {
		verdict := map[dispatch.AnswerKind]lease.Outcome{dispatch.Served: lease.Served, dispatch.Failed: lease.Failed}[a.Kind]
		m.post(func() {
			if e.innerJob == inner && !e.isClosed {
				m.crashPoint("worked")
				m.carryOutLease(e, e.lease.Finish(verdict, a.Result, m.wall()))
			}
		})
	}
	delete(m.entryByInnerJob, e.innerJob)
	e.innerJob, m.entryByInnerJob[inner] = inner, e
	clear(e.granted) // its attempts count from 0 again: a grant of an earlier inner job is none of its own
	if err := m.core.Submit(inner); err != nil {
		m.carryOutLease(e, e.lease.Finish(0, nil, m.wall()))
	}
}

// queryRecord reads the record of a job that another dispatcher holds.
func (m *Manager) queryRecord(e *entry) {
	token, acts := m.replicas.Query(m.now(), e.group, []byte(e.lease.Key), min(e.deadline, m.now()+time.Second))
	e.queryToken = token
	m.callbacks[token] = func(data []byte, err error) {
		e.queryToken = 0
		var s queryAnswer
		if err != nil || e.isClosed || cbor.Unmarshal(data, &s) != nil {
			return
		}
		m.carryOutLease(e, e.lease.HandleRecord(s.Record, s.Found))
	}
	m.carryOut(acts)
}
