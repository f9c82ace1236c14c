// Kept jobs from being taken to being forgotten.

package durablejobs

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/lease"
	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/raftgroup"
)

// job is what of a client's try is copied, so that a successor can run it.
type job struct {
	_               struct{} `cbor:",toarray"`
	ID, Key, Target string
	Head            []dispatch.HeaderField
	Body            []byte
	Class, Tenant   string
	Subject         uint64
	Repeat          bool
	Slots, Memory   float64
}

// entry is a hold with what belongs to it here.
type entry struct {
	hold    *lease.Lease
	client  *dispatch.Job // nil: nobody waits here
	inner   *dispatch.Job // the one that the core has
	id      string
	group   int
	until   time.Duration
	asked   map[int]wish // attempts whose intents are under way
	granted map[int]bool // attempts whose intents stand
	sendBy  atomic.Int64 // on the keeper's clock; 0: nothing may be sent
	lookAt  time.Duration
	looking uint64
	over    bool
}

// wish is an attempt that waits for its intent, and what is to carry it.
type wish struct {
	*dispatch.Attempt
	floor dispatch.Transport
}

// Take takes a job: at once to the core, or for keeps first. It is the fronts' Taker.
func (k *Keeper) Submit(j *dispatch.Job) error {
	<-k.started
	if !k.kept(j.Class) {
		return k.core.Submit(j)
	}
	if !k.ready.Load() {
		k.Counts.Refused.Add(1)
		return ErrUnready
	}
	if k.open.Add(1) > int64(k.lim.OpenJobs) {
		k.open.Add(-1)
		k.Counts.Refused.Add(1)
		return ErrUnready
	}
	k.post(func() { k.begin(j) })
	return nil
}

// Leave passes on that the client has gone. What was promised goes on.
func (k *Keeper) Abandon(j *dispatch.Job) {
	if !k.kept(j.Class) {
		k.core.Abandon(j)
		return
	}
	k.post(func() {
		if e := k.clients[j]; e != nil {
			k.forget(e)
			k.act(e, e.hold.ClientLeft())
		}
	})
}

func (k *Keeper) begin(j *dispatch.Job) {
	k.point("before-take")
	class := &k.node.Module.Classes[j.Class]
	now, key := k.wall(), k.node.Classes[j.Class]+"/"+j.IdempotencyKey
	room := min(k.lim.LeaseReserve, j.Timeout/4)
	left := j.Timeout - room
	terms := lease.Terms{RetryWindow: (class.DedupWindow - class.DedupWindow*3/10 - k.conf.MaxClockSkew).Milliseconds(), SamePlaceOnly: class.DedupScope != decision.DedupByAll,
		Deadline: now + left.Milliseconds(), Retention: k.conf.Retention.Milliseconds(), MaxRecords: max(k.conf.MaxJobs/max(k.host.Groups(), 1), 1), Sender: xxhash.Sum64String(j.ID)}
	tenant := ""
	if j.Tenant >= 0 && j.Tenant < len(k.node.Tenants) {
		tenant = k.node.Tenants[j.Tenant]
	}
	body := encode(job{ID: j.ID, Key: j.IdempotencyKey, Target: j.Target, Head: j.Header, Body: j.Body, Class: k.node.Classes[j.Class], Tenant: tenant, Subject: j.AffinityKey,
		Repeat: j.Retry, Slots: j.Slots, Memory: j.Memory})
	e := &entry{client: j, id: j.ID, until: k.now() + left}
	h, acts := lease.Begin(key, k.owner(), terms, k.fresh(class), body, now)
	k.add(e, h)
	k.act(e, acts)
}

// fresh is how long after its intent a send may begin, in ms: what the class's window leaves above Terms.Again.
func (k *Keeper) fresh(class *decision.ClassSettings) int64 {
	return max((class.DedupWindow/5 - k.conf.MaxClockSkew/2).Milliseconds(), 20)
}

func (k *Keeper) add(e *entry, h *lease.Lease) {
	e.hold, e.group = h, k.host.GroupOf(h.Key)
	e.asked, e.granted = map[int]wish{}, map[int]bool{}
	k.entries[e] = true
	if e.client != nil {
		k.clients[e.client] = e
	}
	k.byKey[h.Key] = append(k.byKey[h.Key], e)
}

// act carries out what a hold wants.
func (k *Keeper) act(e *entry, acts []lease.Action) {
	for _, a := range acts {
		switch a.Kind {
		case lease.Propose:
			k.bring(e, a.Command)
		case lease.Admit:
			k.note(map[string]any{"act": "take", "key": e.hold.Key, "id": e.id, "epoch": e.hold.Epoch, "owner": k.owner()})
			k.point("taken")
			k.admit(e)
		case lease.Send:
			k.let(e, a.Attempt)
		case lease.SkipSend:
			if t, ok := e.asked[a.Attempt]; ok {
				delete(e.asked, a.Attempt)
				t.End(decision.NeverSent, decision.Load{}, nil)
			}
		case lease.Answer:
			verdict := dispatch.Served
			if a.Outcome != lease.Served {
				verdict = dispatch.Failed
			}
			k.note(map[string]any{"act": "tell", "key": e.hold.Key, "id": e.id, "served": a.Outcome == lease.Served, "result": string(a.Result)})
			k.reply(e, dispatch.Answer{Kind: verdict, Result: a.Result})
			k.point("told")
		case lease.Reject:
			k.reply(e, dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: k.lim.RetryAfter})
		case lease.AwaitOwner:
			e.sendBy.Store(0)
			e.lookAt = k.now()
		case lease.Retry:
			time.AfterFunc(200*time.Millisecond, func() {
				k.post(func() {
					if !e.over {
						k.admit(e)
					}
				})
			})
		case lease.Closed:
			k.drop(e)
		}
	}
}

func (k *Keeper) reply(e *entry, a dispatch.Answer) {
	if j := k.forget(e); j != nil {
		j.Reply(a)
	}
}

// forget lets go of the client of a hold.
func (k *Keeper) forget(e *entry) *dispatch.Job {
	j := e.client
	delete(k.clients, j)
	e.client = nil
	return j
}

// drop forgets a hold. What the core has of it goes on and is told to nobody.
func (k *Keeper) drop(e *entry) {
	if e.over {
		return
	}
	e.over = true
	e.sendBy.Store(0)
	for n, t := range e.asked {
		delete(e.asked, n)
		t.End(decision.NeverSent, decision.Load{}, nil)
	}
	if e.looking != 0 {
		k.host.Cancel(e.looking)
		delete(k.tokens, e.looking)
	}
	k.reply(e, dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: k.lim.RetryAfter})
	delete(k.entries, e)
	delete(k.inners, e.inner)
	k.byKey[e.hold.Key] = slices.DeleteFunc(k.byKey[e.hold.Key], func(x *entry) bool { return x == e })
	if len(k.byKey[e.hold.Key]) == 0 {
		delete(k.byKey, e.hold.Key)
	}
	k.open.Add(-1)
}

// bring proposes a command of a hold. An outcome is told to the copies for a while longer than any client waits.
func (k *Keeper) bring(e *entry, c *lease.Command) {
	until := e.until
	switch c.Kind {
	case lease.IntendSend:
		k.point("before-intent")
	case lease.Finish, lease.Release:
		until = max(e.until, k.now()) + k.lim.LeaseNotifyWindow
	}
	k.propose(e.group, c, max(until, k.now()+k.lim.LeaseReserve), func(r lease.Response, err error) {
		if e.over {
			return
		}
		if err != nil {
			k.act(e, e.hold.HandleUnknownOutcome(c))
			return
		}
		switch {
		case r.Decision == lease.Fenced:
			k.Counts.Fenced.Add(1)
		case r.Decision == lease.Forbidden:
			k.Counts.Barred.Add(1)
		case r.Decision == lease.Granted && c.Kind == lease.Acquire:
			k.Counts.Taken.Add(1)
		case r.Decision == lease.OwnedElsewhere:
			k.Counts.Joined.Add(1)
		case r.Decision == lease.AlreadyFinished && c.Kind == lease.Acquire:
			k.Counts.Known.Add(1)
		case r.Decision == lease.Granted && c.Kind == lease.IntendSend:
			k.note(map[string]any{"act": "intent", "key": e.hold.Key, "id": e.id, "epoch": e.hold.Epoch, "attempt": c.Attempt, "owner": k.owner()})
			k.point("intended")
		case r.Decision == lease.Granted && c.Kind == lease.Finish:
			k.note(map[string]any{"act": "end", "key": e.hold.Key, "id": e.id, "epoch": e.hold.Epoch, "served": c.Outcome == lease.Served, "result": string(c.Result)})
			k.point("ended")
		}
		k.act(e, e.hold.HandleResponse(c, r))
	})
}

// admit hands a job to the core.
func (k *Keeper) admit(e *entry) {
	var j job
	if err := cbor.Unmarshal(e.hold.Job(), &j); err != nil {
		slog.Error("a promise that cannot be read", "key", e.hold.Key, "error", err)
		k.act(e, e.hold.Finish(0, nil, k.wall()))
		return
	}
	e.id = j.ID
	left := e.until - k.now()
	inner := &dispatch.Job{ID: j.ID, IdempotencyKey: j.Key, Target: j.Target, Header: j.Head, Body: j.Body, Class: config.Index(k.node.Classes, j.Class),
		Tenant: config.Index(k.node.Tenants, j.Tenant), AffinityKey: j.Subject, Retry: j.Repeat, Slots: j.Slots, Memory: j.Memory,
		Timeout: left - min(k.lim.LeaseReserve, left/4)}
	if inner.Class < 0 || inner.Tenant < 0 && len(k.node.Tenants) > 0 || inner.Timeout <= 0 {
		k.act(e, e.hold.Finish(0, nil, k.wall()))
		return
	}
	inner.MayStart = func() bool { return int64(k.now()) < e.sendBy.Load() }
	inner.OnAttemptEnd = func(a *dispatch.Attempt, o decision.Outcome) {
		never := o == decision.Rejected && !k.node.Module.RejectionUnproven || o == decision.ConnectFailed || o == decision.NeverSent
		n := a.Number()
		k.post(func() {
			if delete(e.asked, n); e.granted[n] && e.inner == inner {
				delete(e.granted, n)
				e.hold.AttemptEnded(never)
			}
		})
	}
	inner.Reply = func(a dispatch.Answer) {
		verdict := map[dispatch.AnswerKind]lease.Outcome{dispatch.Served: lease.Served, dispatch.Failed: lease.Failed}[a.Kind]
		k.post(func() {
			if e.inner == inner && !e.over {
				k.point("worked")
				k.act(e, e.hold.Finish(verdict, a.Result, k.wall()))
			}
		})
	}
	delete(k.inners, e.inner)
	e.inner, k.inners[inner] = inner, e
	clear(e.granted) // it counts its attempts anew: an earlier job's grant is none of its own, and stays in doubt
	if err := k.core.Submit(inner); err != nil {
		k.act(e, e.hold.Finish(0, nil, k.wall()))
	}
}

// find looks up what another dispatcher made of a job.
func (k *Keeper) find(e *entry) {
	token, acts := k.host.Query(k.now(), e.group, []byte(e.hold.Key), min(e.until, k.now()+time.Second))
	e.looking = token
	k.tokens[token] = func(data []byte, err error) {
		e.looking = 0
		var s seen
		if err != nil || e.over || cbor.Unmarshal(data, &s) != nil {
			return
		}
		k.act(e, e.hold.HandleRecord(s.Record, s.Found))
	}
	k.do(acts)
}

// look finds out who is there, and takes over from who is not.
func (k *Keeper) look(ctx context.Context) {
	k.links.greet(k.host.AssignmentID(), k.leaving.Load())
	v, life, joined, quorum := k.members.View(ctx)
	k.view, k.life, quorum = v, life, joined && quorum
	var there []raftgroup.Member
	for i := range v.Members {
		r := &v.Members[i]
		if r.Name == k.node.Name {
			there = append(there, raftgroup.Member{NodeID: k.links.self(), Zone: r.Zone, Assignment: k.host.AssignmentID(), Leaving: k.leaving.Load()})
		} else if m, ok := k.links.met(r.Name); ok {
			m.Zone = r.Zone
			there = append(there, m)
		}
	}
	k.do(k.host.SetMembers(k.now(), there, quorum))
	k.ready.Store(k.host.Ready() && v.Contains(k.node.Name, life))
	if !quorum {
		clear(k.away)
		return
	}
	tidy := k.now() >= k.tidied+2*time.Second
	if tidy {
		k.tidied = k.now()
	}
	room := k.lim.LeaseSubmitBatch
	for n := range k.host.Groups() {
		m, leads := k.host.StateMachine(n)
		if m == nil {
			continue
		}
		t := m.(*machine).Table
		k.adopt(n, t, &room)
		if !leads || k.seizing[n] {
			continue
		}
		if from := k.gone(t); from != "" {
			k.command(n, &lease.Command{Kind: lease.TakeOver, PreviousOwner: from, Owner: k.owner(), Time: k.wall(), Limit: k.lim.LeaseTransferBatch})
		} else if tidy {
			k.command(n, &lease.Command{Kind: lease.TakeOver, Owner: k.owner(), Time: k.wall(), Limit: k.lim.LeaseTransferBatch})
			k.command(n, &lease.Command{Kind: lease.Expire, Time: k.wall(), Limit: 1000})
		}
	}
}

// gone is an owner of open records who is not in the view, and has not been for a while.
func (k *Keeper) gone(t *lease.Table) string {
	for _, o := range t.Owners() {
		at := max(strings.LastIndexByte(o, '.'), 0)
		name := o[:at]
		life, _ := strconv.ParseUint(o[at+1:], 10, 64)
		if i := slices.IndexFunc(k.view.Members, func(r membership.Record) bool { return r.Name == name }); i >= 0 && k.view.Members[i].Incarnation <= life {
			delete(k.away, o)
			continue
		}
		if since, ok := k.away[o]; !ok {
			k.away[o] = k.now()
		} else if k.now() >= since+k.lim.LeaseOrphanDelay {
			return o
		}
	}
	return ""
}

// adopt takes up what this dispatcher owns and nobody here holds: it has just got it, some at a time.
func (k *Keeper) adopt(n int, t *lease.Table, room *int) {
	for _, key := range t.Owned(k.owner()) {
		if *room <= 0 {
			return
		}
		if len(k.byKey[key]) > 0 {
			continue
		}
		r, _ := t.Get(key)
		class := config.Index(k.node.Classes, key[:max(strings.IndexByte(key, '/'), 0)])
		if class < 0 {
			continue // a class that this dispatcher's settings don't have
		}
		*room--
		k.open.Add(1)
		k.Counts.Inherited.Add(1)
		k.note(map[string]any{"act": "inherit", "key": key, "epoch": r.Epoch, "state": r.State.String(), "owner": k.owner()})
		e := &entry{until: k.now() + time.Duration(r.Terms.Deadline-k.wall())*time.Millisecond}
		h, acts := lease.Resume(&r, k.fresh(&k.node.Module.Classes[class]), k.wall())
		k.add(e, h)
		k.act(e, acts)
	}
}
