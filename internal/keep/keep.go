// Package keep takes jobs for keeps. It stands between the fronts and the core, and
// between the core and the floors: a keyed job reaches the core once its promise stands
// on a quorum of copies, an attempt reaches a worker once its intent does, a client
// gets an outcome once that does. One goroutine owns the holds (internal/lease) and this
// dispatcher's copies (internal/replica); links.go carries their frames. This file also
// takes over what dead dispatchers held. It must never decide which worker takes a job,
// whether one is let in, or what a class allows: the module and the lease tables do.
package keep

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ivyfold"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
	"ivyfold/internal/lease"
	"ivyfold/internal/membership"
	"ivyfold/internal/peers"
	"ivyfold/internal/replica"
)

// Membership is what tells who is there.
type Membership interface {
	View(context.Context) (v membership.View, life uint64, joined, quorum bool)
}

// ErrUnready is Take's answer while nothing can be promised: there is no quorum, no founding, or no room.
var ErrUnready = errors.New("nothing can be promised now")

// job is what of a client's try is copied, so that a successor can run it.
type job struct {
	_               struct{} `cbor:",toarray"`
	ID, Key, Target string
	Head            []dispatch.Field
	Body            []byte
	Class, Tenant   string
	Subject         uint64
	Repeat          bool
	Slots, Memory   float64
}

// entry is a hold with what belongs to it here.
type entry struct {
	hold    *lease.Hold
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
	floor dispatch.Floor
}

// Counters only grow.
type Counters struct {
	Taken     atomic.Int64 // promises given here
	Joined    atomic.Int64 // jobs that another dispatcher or try had already
	Known     atomic.Int64 // answered with what stood already
	Refused   atomic.Int64 // for want of a quorum, a founding or room
	Inherited atomic.Int64 // taken over from dead dispatchers
	Fenced    atomic.Int64 // lost to another dispatcher
	Barred    atomic.Int64 // sends that the class forbade
	Unsure    atomic.Int64 // commands of which no quorum said in time what became
	Dropped   atomic.Int64 // frames that found no room or no connection
}

// Keeper is one dispatcher's part in the promises. Make it with New, then Run it.
type Keeper struct {
	Counts Counters

	core    *dispatch.Core
	started chan struct{} // closed once the core is known

	node    *config.Node
	conf    *config.Promises
	lim     config.Limits
	members Membership
	host    *replica.Host
	links   *links
	birth   time.Time
	over    chan struct{}

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	// Owned by Run's goroutine:
	entries map[*entry]bool
	inners  map[*dispatch.Job]*entry
	clients map[*dispatch.Job]*entry
	byKey   map[string][]*entry
	tokens  map[uint64]func([]byte, error)
	life    uint64
	view    membership.View
	away    map[string]time.Duration // owners that are not in the view, since when
	seizing map[int]bool
	tidied  time.Duration
	record  *peers.Record
	crash   map[string]int
	ready   atomic.Bool
	leaving atomic.Bool
	open    atomic.Int64
}

// New makes a keeper; it opens its socket.
func New(n *config.Node, members Membership) (*Keeper, error) {
	c := n.Promises
	k := &Keeper{node: n, conf: c, lim: n.Limits, members: members, birth: time.Now(), over: make(chan struct{}), started: make(chan struct{}), wake: make(chan struct{}, 1),
		entries: map[*entry]bool{}, inners: map[*dispatch.Job]*entry{}, clients: map[*dispatch.Job]*entry{}, byKey: map[string][]*entry{}, tokens: map[uint64]func([]byte, error){}, away: map[string]time.Duration{},
		seizing: map[int]bool{}, crash: map[string]int{}}
	copy := rand.Uint64() | 1
	founders := []string{n.Name}
	for _, p := range c.Peers {
		founders = append(founders, p.Name)
	}
	var err error
	k.host, err = replica.New(replica.Config{Self: replica.Place{Name: n.Name, Copy: copy}, Founders: founders, Groups: c.Groups, Copies: c.Copies,
		Machine: func(int) replica.Machine { return &machine{lease.New()} }, Seed: n.Seed ^ copy}, k.now())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	if c.Events != "" {
		if k.record, err = peers.OpenRecord(c.Events); err != nil {
			return nil, fmt.Errorf("%s: key promises.events: %w", c.Path, err)
		}
	}
	if k.links, err = open(n, hello{Form: 1, Name: n.Name, Copy: copy, Start: uint64(time.Now().UnixNano())}, &k.Counts.Dropped); err != nil {
		return nil, fmt.Errorf("%s: key promises.listen: %w", c.Path, err)
	}
	return k, nil
}

// machine is a lease table as the replica wants it.
type machine struct{ *lease.Table }

func (m *machine) Apply(command []byte) []byte {
	var r lease.Reply
	if c, err := lease.Decode(command); err == nil {
		r = m.Table.Apply(c)
	} else { // of a later version of the program: no copy of this one can follow it
		r.Word = lease.Barred
	}
	return encode(r)
}

// seen is the answer to a look.
type seen struct {
	_      struct{} `cbor:",toarray"`
	Found  bool
	Record lease.Record
}

func (m *machine) Look(key []byte) []byte {
	r, ok := m.Get(string(key))
	return encode(seen{Found: ok, Record: r})
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // nothing in these can fail
	}
	return data
}

// now is the keeper's clock: monotonic. wall is Unix milliseconds by the calendar of the start and that clock, so that
// steps of the calendar change nothing later.
func (k *Keeper) now() time.Duration { return time.Hour + time.Since(k.birth) }
func (k *Keeper) wall() int64        { return k.birth.Add(time.Since(k.birth)).UnixMilli() }

// post hands something to the keeper's goroutine. It never blocks: what waits is bounded by the open jobs.
func (k *Keeper) post(f func()) {
	k.mu.Lock()
	k.queue = append(k.queue, f)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// point is a place at which a trial may end or stop the process.
func (k *Keeper) point(name string) {
	if name == k.conf.CrashAt {
		if k.crash[name]++; k.crash[name] == k.conf.CrashOn {
			k.note(map[string]any{"crash": name})
			if k.conf.Stops {
				syscall.Kill(syscall.Getpid(), syscall.SIGSTOP)
				return
			}
			syscall.Kill(syscall.Getpid(), syscall.SIGKILL)
			select {}
		}
	}
}

// Run keeps until ctx ends. The core gets the jobs.
func (k *Keeper) Run(ctx context.Context, core *dispatch.Core) {
	k.core = core
	close(k.started)
	defer close(k.over)
	go k.links.run(ctx, func(from replica.Place, data []byte) {
		k.post(func() { k.do(k.host.Hear(k.now(), from, data)) })
	})
	beat := time.NewTicker(10 * time.Millisecond)
	defer beat.Stop()
	round := k.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-beat.C:
			k.do(k.host.Tick(k.now()))
			k.expire()
		}
		k.mu.Lock()
		work := k.queue
		k.queue = nil
		k.mu.Unlock()
		for _, f := range work {
			f()
		}
		if k.now() >= round {
			round = k.now() + k.lim.LeaseRound
			k.look(ctx)
		}
	}
}

// do carries out what the host wants.
func (k *Keeper) do(acts *replica.Actions) {
	for _, o := range acts.Send {
		k.links.send(o.To, o.Data)
	}
	for _, n := range acts.Notices {
		slog.Info("copies", "text", n)
		k.note(map[string]any{"notice": n})
	}
	results := slices.Clone(acts.Results) // what follows from them calls the host again
	for _, r := range results {
		if f := k.tokens[r.Token]; f != nil {
			delete(k.tokens, r.Token)
			f(r.Data, r.Err)
		}
	}
}

// propose brings a command to its group's copies.
func (k *Keeper) propose(group int, c *lease.Command, until time.Duration, then func(lease.Reply, error)) {
	token, acts := k.host.Propose(k.now(), group, encode(c), until)
	k.tokens[token] = func(data []byte, err error) {
		var r lease.Reply
		if err == nil {
			r, err = lease.DecodeReply(data)
		}
		if err != nil {
			k.Counts.Unsure.Add(1)
		}
		then(r, err)
	}
	k.do(acts)
}

// note writes a line of the operator's record.
func (k *Keeper) note(line map[string]any) {
	line["by"] = k.node.Name
	k.record.Note(line)
}

// owner is this dispatcher as the tables name it.
func (k *Keeper) owner() string { return k.node.Name + "." + strconv.FormatUint(k.life, 10) }

// kept tells whether jobs of a class are taken for keeps.
func (k *Keeper) kept(class int) bool { return k.node.Module.Classes[class].Effect == ivyfold.Keyed }

// Take takes a job: at once to the core, or for keeps first. It is the fronts' Taker.
func (k *Keeper) Take(j *dispatch.Job) error {
	<-k.started
	if !k.kept(j.Class) {
		return k.core.Take(j)
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
func (k *Keeper) Leave(j *dispatch.Job) {
	if !k.kept(j.Class) {
		k.core.Leave(j)
		return
	}
	k.post(func() {
		if e := k.clients[j]; e != nil {
			k.forget(e)
			k.act(e, e.hold.Leave())
		}
	})
}

func (k *Keeper) begin(j *dispatch.Job) {
	k.point("before-take")
	class := &k.node.Module.Classes[j.Class]
	now, key := k.wall(), k.node.Classes[j.Class]+"/"+j.Key
	room := min(k.lim.LeaseRoom, j.Patience/4)
	left := j.Patience - room
	terms := lease.Terms{Again: (class.Window - class.Window*3/10 - k.conf.Skew).Milliseconds(), Bound: class.Group != ivyfold.GroupAll,
		Until: now + left.Milliseconds(), Keep: k.conf.Keep.Milliseconds(), Most: max(k.conf.Most/max(k.host.Groups(), 1), 1), Sender: xxhash.Sum64String(j.ID)}
	tenant := ""
	if j.Tenant >= 0 && j.Tenant < len(k.node.Tenants) {
		tenant = k.node.Tenants[j.Tenant]
	}
	body := encode(job{ID: j.ID, Key: j.Key, Target: j.Target, Head: j.Head, Body: j.Body, Class: k.node.Classes[j.Class], Tenant: tenant, Subject: j.Subject,
		Repeat: j.Repeat, Slots: j.Slots, Memory: j.Memory})
	e := &entry{client: j, id: j.ID, until: k.now() + left}
	h, acts := lease.Begin(key, k.owner(), terms, k.fresh(class), body, now)
	k.add(e, h)
	k.act(e, acts)
}

// fresh is how long after its intent a send may begin, in ms: what the class's window leaves above Terms.Again.
func (k *Keeper) fresh(class *ivyfold.ClassSettings) int64 {
	return max((class.Window/5 - k.conf.Skew/2).Milliseconds(), 20)
}

func (k *Keeper) add(e *entry, h *lease.Hold) {
	e.hold, e.group = h, k.host.Group(h.Key)
	e.asked, e.granted = map[int]wish{}, map[int]bool{}
	k.entries[e] = true
	if e.client != nil {
		k.clients[e.client] = e
	}
	k.byKey[h.Key] = append(k.byKey[h.Key], e)
}

// act carries out what a hold wants.
func (k *Keeper) act(e *entry, acts []lease.Act) {
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
		case lease.Moot:
			if t, ok := e.asked[a.Attempt]; ok {
				delete(e.asked, a.Attempt)
				t.End(ivyfold.Moot, ivyfold.Load{}, nil)
			}
		case lease.Tell:
			verdict := dispatch.Served
			if a.Verdict != lease.Served {
				verdict = dispatch.Failed
			}
			k.note(map[string]any{"act": "tell", "key": e.hold.Key, "id": e.id, "served": a.Verdict == lease.Served, "result": string(a.Result)})
			k.reply(e, dispatch.Answer{Verdict: verdict, Result: a.Result})
			k.point("told")
		case lease.Refuse:
			k.reply(e, dispatch.Answer{Verdict: dispatch.Refused, RetryAfter: k.lim.RetryAfter})
		case lease.Wait:
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
		case lease.Over:
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
		t.End(ivyfold.Moot, ivyfold.Load{}, nil)
	}
	if e.looking != 0 {
		k.host.Drop(e.looking)
		delete(k.tokens, e.looking)
	}
	k.reply(e, dispatch.Answer{Verdict: dispatch.Refused, RetryAfter: k.lim.RetryAfter})
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
	case lease.Intent:
		k.point("before-intent")
	case lease.End, lease.Return:
		until = max(e.until, k.now()) + k.lim.LeaseLinger
	}
	k.propose(e.group, c, max(until, k.now()+k.lim.LeaseRoom), func(r lease.Reply, err error) {
		if e.over {
			return
		}
		if err != nil {
			k.act(e, e.hold.Unsure(c))
			return
		}
		switch {
		case r.Word == lease.Fenced:
			k.Counts.Fenced.Add(1)
		case r.Word == lease.Barred:
			k.Counts.Barred.Add(1)
		case r.Word == lease.Granted && c.Kind == lease.Take:
			k.Counts.Taken.Add(1)
		case r.Word == lease.Joined:
			k.Counts.Joined.Add(1)
		case r.Word == lease.Known && c.Kind == lease.Take:
			k.Counts.Known.Add(1)
		case r.Word == lease.Granted && c.Kind == lease.Intent:
			k.note(map[string]any{"act": "intent", "key": e.hold.Key, "id": e.id, "epoch": e.hold.Epoch, "attempt": c.Attempt, "owner": k.owner()})
			k.point("intended")
		case r.Word == lease.Granted && c.Kind == lease.End:
			k.note(map[string]any{"act": "end", "key": e.hold.Key, "id": e.id, "epoch": e.hold.Epoch, "served": c.Verdict == lease.Served, "result": string(c.Result)})
			k.point("ended")
		}
		k.act(e, e.hold.Replied(c, r))
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
	inner := &dispatch.Job{ID: j.ID, Key: j.Key, Target: j.Target, Head: j.Head, Body: j.Body, Class: config.Index(k.node.Classes, j.Class),
		Tenant: config.Index(k.node.Tenants, j.Tenant), Subject: j.Subject, Repeat: j.Repeat, Slots: j.Slots, Memory: j.Memory,
		Patience: left - min(k.lim.LeaseRoom, left/4)}
	if inner.Class < 0 || inner.Tenant < 0 && len(k.node.Tenants) > 0 || inner.Patience <= 0 {
		k.act(e, e.hold.Finish(0, nil, k.wall()))
		return
	}
	inner.MayStart = func() bool { return int64(k.now()) < e.sendBy.Load() }
	inner.Ended = func(a *dispatch.Attempt, o ivyfold.Outcome) {
		never := o == ivyfold.Full && !k.node.Module.FullUnproven || o == ivyfold.ConnectFailed || o == ivyfold.Moot
		n := a.Number()
		k.post(func() {
			if delete(e.asked, n); e.granted[n] && e.inner == inner {
				delete(e.granted, n)
				e.hold.Ended(never)
			}
		})
	}
	inner.Reply = func(a dispatch.Answer) {
		verdict := map[dispatch.Verdict]lease.Verdict{dispatch.Served: lease.Served, dispatch.Failed: lease.Failed}[a.Verdict]
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
	if err := k.core.Take(inner); err != nil {
		k.act(e, e.hold.Finish(0, nil, k.wall()))
	}
}

// floors stands before the floors: attempts of jobs that are kept wait for their intents.
type floors struct {
	keeper *Keeper
	dispatch.Floor
}

// Floors puts the keeper before a floor.
func (k *Keeper) Floors(f dispatch.Floor) dispatch.Floor {
	if f == nil {
		return nil
	}
	return &floors{k, f}
}

// Send is called on the core's goroutine.
func (f *floors) Send(a *dispatch.Attempt) {
	if a.Job.MayStart == nil {
		f.Floor.Send(a)
		return
	}
	f.keeper.post(func() { f.keeper.ask(a, f.Floor) })
}

// ask asks the copies for a send.
func (k *Keeper) ask(a *dispatch.Attempt, floor dispatch.Floor) {
	e := k.inners[a.Job]
	if e == nil {
		a.End(ivyfold.Moot, ivyfold.Load{}, nil)
		return
	}
	place := uint32(0)
	switch k.node.Module.Classes[a.Job.Class].Group {
	case ivyfold.GroupZone:
		place = uint32(config.Index(k.node.Zones, a.Worker.Zone) + 1)
	case ivyfold.GroupCell:
		place = uint32(a.Worker.Cell + 1)
	}
	e.asked[a.Number()] = wish{a, floor}
	k.act(e, e.hold.Ask(a.Number(), place, k.wall()))
}

// let lets an attempt go out.
func (k *Keeper) let(e *entry, n int) {
	a, ok := e.asked[n]
	if !ok { // it has ended meanwhile: nothing has gone out
		e.hold.Ended(true)
		return
	}
	delete(e.asked, n)
	e.granted[n] = true
	e.sendBy.Store(int64(k.now()) + e.hold.Left(k.wall())*int64(time.Millisecond))
	a.floor.Send(a.Attempt)
	k.point("sent")
}

// expire answers whose client waits no longer, and looks after jobs that others have.
func (k *Keeper) expire() {
	now := k.now()
	for e := range k.entries {
		switch {
		case now >= e.until && e.client != nil:
			k.act(e, e.hold.Expire())
		case e.hold.Waits() && now >= e.lookAt:
			e.lookAt = now + k.lim.LeaseLook
			if e.looking == 0 {
				k.find(e)
			}
		}
	}
}

// find looks up what another dispatcher made of a job.
func (k *Keeper) find(e *entry) {
	token, acts := k.host.Look(k.now(), e.group, []byte(e.hold.Key), min(e.until, k.now()+time.Second))
	e.looking = token
	k.tokens[token] = func(data []byte, err error) {
		e.looking = 0
		var s seen
		if err != nil || e.over || cbor.Unmarshal(data, &s) != nil {
			return
		}
		k.act(e, e.hold.Found(s.Record, s.Found))
	}
	k.do(acts)
}

// look finds out who is there, and takes over from who is not.
func (k *Keeper) look(ctx context.Context) {
	k.links.greet(k.host.Charter(), k.leaving.Load())
	v, life, joined, quorum := k.members.View(ctx)
	k.view, k.life, quorum = v, life, joined && quorum
	var there []replica.Member
	for i := range v.Members {
		r := &v.Members[i]
		if r.Name == k.node.Name {
			there = append(there, replica.Member{Place: k.links.self(), Zone: r.Zone, Charter: k.host.Charter(), Leaving: k.leaving.Load()})
		} else if m, ok := k.links.met(r.Name); ok {
			m.Zone = r.Zone
			there = append(there, m)
		}
	}
	k.do(k.host.See(k.now(), there, quorum))
	k.ready.Store(k.host.Ready() && v.Has(k.node.Name, life))
	if !quorum {
		clear(k.away)
		return
	}
	tidy := k.now() >= k.tidied+2*time.Second
	if tidy {
		k.tidied = k.now()
	}
	room := k.lim.LeasesTaken
	for n := range k.host.Groups() {
		m, leads := k.host.Machine(n)
		if m == nil {
			continue
		}
		t := m.(*machine).Table
		k.adopt(n, t, &room)
		if !leads || k.seizing[n] {
			continue
		}
		if from := k.gone(t); from != "" {
			k.command(n, &lease.Command{Kind: lease.Seize, From: from, Owner: k.owner(), Now: k.wall(), Most: k.lim.LeasesMoved})
		} else if tidy {
			k.command(n, &lease.Command{Kind: lease.Seize, Owner: k.owner(), Now: k.wall(), Most: k.lim.LeasesMoved})
			k.command(n, &lease.Command{Kind: lease.Forget, Now: k.wall(), Most: 1000})
		}
	}
}

// command is one of the group's own, by whom it is led.
func (k *Keeper) command(group int, c *lease.Command) {
	k.seizing[group] = true
	k.propose(group, c, k.now()+time.Second, func(r lease.Reply, err error) {
		delete(k.seizing, group)
		if err == nil && c.Kind == lease.Seize && r.Moved > 0 {
			slog.Info("taken over", "from", c.From, "group", group, "leases", r.Moved)
			k.note(map[string]any{"act": "seize", "from": c.From, "group": group, "leases": r.Moved, "owner": c.Owner})
		}
	})
}

// gone is an owner of open records who is not in the view, and has not been for a while.
func (k *Keeper) gone(t *lease.Table) string {
	for _, o := range t.Owners() {
		at := max(strings.LastIndexByte(o, '.'), 0)
		name := o[:at]
		life, _ := strconv.ParseUint(o[at+1:], 10, 64)
		if i := slices.IndexFunc(k.view.Members, func(r membership.Record) bool { return r.Name == name }); i >= 0 && k.view.Members[i].Life <= life {
			delete(k.away, o)
			continue
		}
		if since, ok := k.away[o]; !ok {
			k.away[o] = k.now()
		} else if k.now() >= since+k.lim.LeaseOrphan {
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
		e := &entry{until: k.now() + time.Duration(r.Terms.Until-k.wall())*time.Millisecond}
		h, acts := lease.Inherit(&r, k.fresh(&k.node.Module.Classes[class]), k.wall())
		k.add(e, h)
		k.act(e, acts)
	}
}

// Farewell gives up what this dispatcher has: its open jobs end, and others get its copies. It waits for both as long as ctx
// lasts, or until nobody is there to get them.
func (k *Keeper) Farewell(ctx context.Context) {
	k.leaving.Store(true)
	ctx, done := context.WithTimeout(ctx, k.lim.LeaseFarewell)
	defer done()
	type hand struct {
		open  int
		moved bool
	}
	last := hand{}
	for began := time.Now(); ; {
		now := make(chan hand, 1)
		k.post(func() { now <- hand{len(k.entries), k.host.Moved()} })
		select {
		case <-ctx.Done():
			slog.Warn("leaving with something in hand", "jobs", last.open, "copies", !last.moved)
			return
		case <-k.over:
			return
		case last = <-now:
			if last.open == 0 && last.moved {
				slog.Info("gave up what it had", "after", time.Since(began))
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(k.lim.LeaseRound):
		}
	}
}

// Status tells what the state is; with a key it adds that record, with * the open ones, a hundred at most.
func (k *Keeper) Status(ctx context.Context, key string) (any, bool) {
	var s lease.Status
	done := make(chan struct{})
	k.post(func() {
		defer close(done)
		c := &k.Counts
		s = lease.Status{Name: k.node.Name, Owner: k.owner(), Ready: k.ready.Load(), Open: len(k.entries),
			Counters: map[string]int64{"taken": c.Taken.Load(), "joined": c.Joined.Load(), "known": c.Known.Load(), "refused": c.Refused.Load(),
				"inherited": c.Inherited.Load(), "fenced": c.Fenced.Load(), "barred": c.Barred.Load(), "unsure": c.Unsure.Load(), "dropped": c.Dropped.Load()}}
		if id := k.host.Charter(); id != 0 {
			s.Charter = strconv.FormatUint(id, 16)
		}
		for _, g := range k.host.Status() {
			s.Groups = append(s.Groups, lease.Group(g))
			if g.Leads {
				s.Lost += min(g.Lost, 1)
			}
		}
		for n := range k.host.Groups() {
			m, _ := k.host.Machine(n)
			if m == nil {
				continue
			}
			t := m.(*machine).Table
			s.Kept += t.Len()
			show := func(r *lease.Record) {
				s.Records = append(s.Records, lease.Shown{Key: r.Key, Group: n, State: r.State.String(), Owner: r.Owner, Epoch: r.Epoch, Attempt: r.Attempt,
					First: cmp.Or(r.Old, r.First), Until: r.Terms.Until, Served: r.Verdict == lease.Served, Result: string(r.Result)})
			}
			if r, ok := t.Get(key); ok {
				show(&r)
			} else if key == "*" {
				for _, o := range t.Owners() {
					for _, key := range t.Owned(o) {
						if r, _ := t.Get(key); len(s.Records) < 100 {
							show(&r)
						}
					}
				}
			}
		}
	})
	select {
	case <-done:
		return s, true
	case <-k.over:
	case <-ctx.Done():
	}
	return nil, false
}
