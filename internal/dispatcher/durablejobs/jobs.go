// The life of a durable job, from its submission to its outcome.

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

// storedJob is the replicated form of a job, from which another dispatcher can run it.
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

// entry is a lease of this dispatcher with the jobs and attempts that belong to it. Only Run's goroutine accesses it,
// except sendBy.
type entry struct {
	lease       *lease.Lease
	clientJob   *dispatch.Job // of the waiting client; nil: none
	innerJob    *dispatch.Job // as submitted to the core
	id          string
	group       int
	deadline    time.Duration
	requested   map[int]requestedSend // attempts whose intents are proposed, by number
	granted     map[int]bool          // attempts whose intents are committed, by number
	sendBy      atomic.Int64          // manager's time in ns at which the permission to send ends; 0: none
	nextQueryAt time.Duration
	queryToken  uint64
	isClosed    bool
}

// requestedSend is an attempt that waits for its intent to be committed, and the transport that will send it.
type requestedSend struct {
	*dispatch.Attempt
	transport dispatch.Transport
}

// Submit accepts a job from a front end. A durable job goes to the core once its lease is committed, any other at once.
// Submit returns ErrNotReady, or the core's error, if the job is not accepted.
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

// Abandon handles a client that has left. A durable job continues.
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

// acquire begins the lease of a client's job.
func (m *Manager) acquire(job *dispatch.Job) {
	m.crashPoint("before-take")
	class := &m.node.Module.Classes[job.Class]
	now, key := m.unixMs(), m.node.Classes[job.Class]+"/"+job.IdempotencyKey
	reserve := min(m.limits.LeaseReserve, job.Timeout/4)
	timeLeft := job.Timeout - reserve
	terms := lease.Terms{RetryWindow: (class.DedupWindow - class.DedupWindow*3/10 - m.options.MaxClockSkew).Milliseconds(), SamePlaceOnly: class.DedupScope != decision.DedupByAll,
		Deadline: now + timeLeft.Milliseconds(), Retention: m.options.Retention.Milliseconds(), MaxRecords: max(m.options.MaxJobs/max(m.replicas.Groups(), 1), 1), RequestID: xxhash.Sum64String(job.ID)}
	tenant := ""
	if job.Tenant >= 0 && job.Tenant < len(m.node.Tenants) {
		tenant = m.node.Tenants[job.Tenant]
	}
	stored := encode(storedJob{ID: job.ID, Key: job.IdempotencyKey, Target: job.Target, Header: job.Header, Body: job.Body, Class: m.node.Classes[job.Class], Tenant: tenant, AffinityKey: job.AffinityKey,
		Retry: job.Retry, Slots: job.Slots, Memory: job.Memory})
	newEntry := &entry{clientJob: job, id: job.ID, deadline: m.now() + timeLeft}
	newLease, actions := lease.Begin(key, m.owner(), terms, m.sendWindow(class), stored, now)
	m.add(newEntry, newLease)
	m.carryOutLease(newEntry, actions)
}

// sendWindow returns for how many ms after its intent a send of a class may begin, at least 20. Terms.RetryWindow leaves
// room for it in the class's dedup window.
func (m *Manager) sendWindow(class *decision.ClassSettings) int64 {
	return max((class.DedupWindow/5 - m.options.MaxClockSkew/2).Milliseconds(), 20)
}

// add registers an entry with its lease.
func (m *Manager) add(e *entry, newLease *lease.Lease) {
	e.lease, e.group = newLease, m.replicas.GroupOf(newLease.Key)
	e.requested, e.granted = map[int]requestedSend{}, map[int]bool{}
	m.entries[e] = true
	if e.clientJob != nil {
		m.entryByClientJob[e.clientJob] = e
	}
	m.entriesByKey[newLease.Key] = append(m.entriesByKey[newLease.Key], e)
}

// carryOutLease carries out the actions of an entry's lease.
func (m *Manager) carryOutLease(e *entry, actions []lease.Action) {
	for _, action := range actions {
		switch action.Kind {
		case lease.Propose:
			m.proposeFor(e, action.Command)
		case lease.Admit:
			m.logEvent(map[string]any{"act": "take", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "owner": m.owner()})
			m.crashPoint("taken")
			m.admit(e)
		case lease.Send:
			m.sendGranted(e, action.Attempt)
		case lease.SkipSend:
			if send, ok := e.requested[action.Attempt]; ok {
				delete(e.requested, action.Attempt)
				send.End(decision.NeverSent, decision.Load{}, nil)
			}
		case lease.Answer:
			kind := dispatch.Served
			if action.Outcome != lease.Served {
				kind = dispatch.Failed
			}
			m.logEvent(map[string]any{"act": "tell", "key": e.lease.Key, "id": e.id, "served": action.Outcome == lease.Served, "result": string(action.Result)})
			m.reply(e, dispatch.Answer{Kind: kind, Result: action.Result})
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

// reply answers the client of an entry, if one waits.
func (m *Manager) reply(e *entry, a dispatch.Answer) {
	if j := m.takeClient(e); j != nil {
		j.Reply(a)
	}
}

// takeClient removes and returns the client's job of an entry, or nil.
func (m *Manager) takeClient(e *entry) *dispatch.Job {
	j := e.clientJob
	delete(m.entryByClientJob, j)
	e.clientJob = nil
	return j
}

// drop removes an entry, ends its requested attempts and rejects its client, if one waits. An attempt that
// the core already has continues, and its result is ignored.
func (m *Manager) drop(e *entry) {
	if e.isClosed {
		return
	}
	e.isClosed = true
	e.sendBy.Store(0)
	for n, send := range e.requested {
		delete(e.requested, n)
		send.End(decision.NeverSent, decision.Load{}, nil)
	}
	if e.queryToken != 0 {
		m.replicas.Cancel(e.queryToken)
		delete(m.callbacks, e.queryToken)
	}
	m.reply(e, dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: m.limits.RetryAfter})
	delete(m.entries, e)
	delete(m.entryByInnerJob, e.innerJob)
	m.entriesByKey[e.lease.Key] = slices.DeleteFunc(m.entriesByKey[e.lease.Key], func(other *entry) bool { return other == e })
	if len(m.entriesByKey[e.lease.Key]) == 0 {
		delete(m.entriesByKey, e.lease.Key)
	}
	m.openJobs.Add(-1)
}

// proposeFor proposes a command of a lease until the deadline of the job. Finish and Release are proposed for
// Limits.LeaseNotifyWindow longer.
func (m *Manager) proposeFor(e *entry, command *lease.Command) {
	until := e.deadline
	switch command.Kind {
	case lease.IntendSend:
		m.crashPoint("before-intent")
	case lease.Finish, lease.Release:
		until = max(e.deadline, m.now()) + m.limits.LeaseNotifyWindow
	}
	m.propose(e.group, command, max(until, m.now()+m.limits.LeaseReserve), func(response lease.Response, err error) {
		if e.isClosed {
			return
		}
		if err != nil {
			m.carryOutLease(e, e.lease.HandleUnknownOutcome(command))
			return
		}
		switch {
		case response.Decision == lease.Fenced:
			m.Counters.Fenced.Add(1)
		case response.Decision == lease.Forbidden:
			m.Counters.Forbidden.Add(1)
		case response.Decision == lease.Granted && command.Kind == lease.Acquire:
			m.Counters.Acquired.Add(1)
		case response.Decision == lease.OwnedElsewhere:
			m.Counters.OwnedElsewhere.Add(1)
		case response.Decision == lease.AlreadyFinished && command.Kind == lease.Acquire:
			m.Counters.AlreadyFinished.Add(1)
		case response.Decision == lease.Granted && command.Kind == lease.IntendSend:
			m.logEvent(map[string]any{"act": "intent", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "attempt": command.Attempt, "owner": m.owner()})
			m.crashPoint("intended")
		case response.Decision == lease.Granted && command.Kind == lease.Finish:
			m.logEvent(map[string]any{"act": "end", "key": e.lease.Key, "id": e.id, "epoch": e.lease.Epoch, "served": command.Outcome == lease.Served, "result": string(command.Result)})
			m.crashPoint("ended")
		}
		m.carryOutLease(e, e.lease.HandleResponse(command, response))
	})
}

// admit submits a job to the core.
func (m *Manager) admit(e *entry) {
	var stored storedJob
	if err := cbor.Unmarshal(e.lease.Job(), &stored); err != nil {
		slog.Error("cannot decode a durable job", "key", e.lease.Key, "error", err)
		m.carryOutLease(e, e.lease.Finish(0, nil, m.unixMs()))
		return
	}
	e.id = stored.ID
	timeLeft := e.deadline - m.now()
	inner := &dispatch.Job{ID: stored.ID, IdempotencyKey: stored.Key, Target: stored.Target, Header: stored.Header, Body: stored.Body, Class: config.Index(m.node.Classes, stored.Class),
		Tenant: config.Index(m.node.Tenants, stored.Tenant), AffinityKey: stored.AffinityKey, Retry: stored.Retry, Slots: stored.Slots, Memory: stored.Memory,
		Timeout: timeLeft - min(m.limits.LeaseReserve, timeLeft/4)}
	if inner.Class < 0 || inner.Tenant < 0 && len(m.node.Tenants) > 0 || inner.Timeout <= 0 {
		m.carryOutLease(e, e.lease.Finish(0, nil, m.unixMs()))
		return
	}
	inner.MayStart = func() bool { return int64(m.now()) < e.sendBy.Load() }
	inner.OnAttemptEnd = func(a *dispatch.Attempt, outcome decision.Outcome) {
		neverRan := outcome == decision.Rejected && !m.node.Module.RejectionUnproven || outcome == decision.ConnectFailed || outcome == decision.NeverSent
		number := a.Number()
		m.post(func() {
			if delete(e.requested, number); e.granted[number] && e.innerJob == inner {
				delete(e.granted, number)
				e.lease.AttemptEnded(neverRan)
			}
		})
	}
	inner.Reply = func(a dispatch.Answer) {
		leaseOutcome := map[dispatch.AnswerKind]lease.Outcome{dispatch.Served: lease.Served, dispatch.Failed: lease.Failed}[a.Kind]
		m.post(func() {
			if e.innerJob == inner && !e.isClosed {
				m.crashPoint("worked")
				m.carryOutLease(e, e.lease.Finish(leaseOutcome, a.Result, m.unixMs()))
			}
		})
	}
	delete(m.entryByInnerJob, e.innerJob)
	e.innerJob, m.entryByInnerJob[inner] = inner, e
	clear(e.granted) // attempt numbers start from 0 again; grants of an earlier inner job do not apply
	if err := m.core.Submit(inner); err != nil {
		m.carryOutLease(e, e.lease.Finish(0, nil, m.unixMs()))
	}
}

// queryRecord reads the record of a job whose lease another owner has, and passes it to the lease.
func (m *Manager) queryRecord(e *entry) {
	token, actions := m.replicas.Query(m.now(), e.group, []byte(e.lease.Key), min(e.deadline, m.now()+time.Second))
	e.queryToken = token
	m.callbacks[token] = func(data []byte, err error) {
		e.queryToken = 0
		var answer queryAnswer
		if err != nil || e.isClosed || cbor.Unmarshal(data, &answer) != nil {
			return
		}
		m.carryOutLease(e, e.lease.HandleRecord(answer.Record, answer.Found))
	}
	m.carryOut(actions)
}
