package replication

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// stragglerGrace is for how long a round waits for the rest of its answers after a majority has come.
const stragglerGrace = 150 * time.Millisecond

// errOvertaken means that another process has made, or is making, a newer view.
var errOvertaken = errors.New("replication: overtaken by a newer view")

// viewChange describes a view that is to be made with this process as the primary.
type viewChange struct {
	base     View // the newest view known; its members are asked
	founding bool // the base is the view that a new group begins with
	// next derives the members of the new view from the newest accepted one, or refuses.
	next func(newest View) (View, error)
	// silent holds the disks whose promises are not waited for.
	silent map[string]bool
	// excluded holds the disks that don't enter the in-sync set. They are not waited for either.
	excluded map[string]bool
	// required is a disk that must enter the in-sync set; "" for none.
	required string
	// copyAlways has the whole state sent to everyone who needs it, not only where the in-sync set is too small.
	copyAlways bool
}

// madeView is a view that is in force.
type madeView struct {
	view     View
	aligned  time.Time            // when the in-sync set was asked to follow the log
	accepted map[string]time.Time // when those who have accepted it were asked, by disk id
}

// changeView makes a view: promises are collected from a majority of the newest view's members, the in-sync set is
// aligned with this process's log, and a majority accepts. When it returns, the view is in force and this process's
// whole log is committed.
func (g *Group) changeView(ctx context.Context, change viewChange) (madeView, error) {
	g.making.enter()
	defer g.making.leave()
	epoch, err := g.tryPromises(ctx, change)
	if err != nil {
		return madeView{}, trace.Wrap(err)
	}
	last, collected, err := g.takeEpoch(ctx, epoch, change)
	if err != nil {
		return madeView{}, trace.Wrap(err)
	}
	view, err := change.next(collected.newest)
	if err != nil {
		return madeView{}, trace.Wrap(err)
	}
	view.Epoch, view.Primary = epoch, g.self.DiskID
	aligned := time.Now()
	view.InSync, err = g.alignInSync(ctx, view, last, change, collected.granted)
	if err != nil {
		return madeView{}, trace.Wrap(err)
	}
	accepted, err := g.collectAcceptances(ctx, view, change.founding)
	if err != nil {
		return madeView{}, trace.Wrap(err)
	}
	if attached, _ := g.replica.commit(epoch, last.Index); !attached {
		return madeView{}, trace.Wrap(errOvertaken)
	}
	g.logger.Info("view in force", zap.Uint64("epoch", epoch), zap.Int("members", len(view.Members)),
		zap.Int("inSync", len(view.InSync)), zap.Uint64("index", last.Index))
	return madeView{view: view, aligned: aligned, accepted: accepted}, nil
}

// tryPromises asks without effect whether a majority would promise, so that no epoch is used up in vain, and returns
// an epoch that is higher than all that were promised.
func (g *Group) tryPromises(ctx context.Context, change viewChange) (uint64, error) {
	request := promiseRequest{Epoch: g.witness.record().Promised + 1, Trial: true}
	collected, err := g.collectPromises(ctx, change, request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if _, err := change.next(collected.newest); err != nil {
		return 0, trace.Wrap(err)
	}
	return g.highestEpoch.Load() + 1, nil
}

// noteEpoch remembers an epoch that was promised, so that the next one taken is higher.
func (g *Group) noteEpoch(epoch uint64) {
	for known := g.highestEpoch.Load(); epoch > known; known = g.highestEpoch.Load() {
		if g.highestEpoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

// takeEpoch takes the epoch for this process: by its own promise, after which its log takes nothing from older
// primaries, and by those of a majority. It returns the end of the log and what the round brought.
func (g *Group) takeEpoch(ctx context.Context, epoch uint64, change viewChange) (position, promises, error) {
	promised, err := g.witness.promise(epoch, g.self.DiskID)
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	if !promised {
		return position{}, promises{}, trace.Wrap(errOvertaken)
	}
	last, err := g.replica.begin(epoch)
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	collected, err := g.collectPromises(ctx, change, promiseRequest{Epoch: epoch})
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	if collected.newest.Epoch >= epoch {
		return position{}, promises{}, trace.Wrap(errOvertaken)
	}
	return last, collected, nil
}

// promises is what a round of promises brought.
type promises struct {
	granted map[string]bool
	highest uint64 // the highest epoch that anyone has promised
	newest  View   // the newest view that anyone has accepted
}

func (p *promises) note(member Member, answer promiseAnswer) {
	if answer.Granted {
		p.granted[member.DiskID] = true
	}
	p.highest = max(p.highest, answer.Promised)
	if answer.Accepted != nil && answer.Accepted.Epoch > p.newest.Epoch {
		p.newest = *answer.Accepted
	}
}

func (p *promises) isQuorum() bool {
	return p.newest.quorum(func(diskID string) bool { return p.granted[diskID] })
}

// collectPromises asks the members of the newest known view for their promises. The majority that it needs is one of
// the newest view it comes to know.
func (g *Group) collectPromises(ctx context.Context, change viewChange, request promiseRequest) (promises, error) {
	request.Candidate, request.View, request.Founding = g.self.DiskID, change.base, change.founding
	own := g.witness.record()
	collected := promises{granted: map[string]bool{}, newest: change.base}
	collected.note(g.self, promiseAnswer{Granted: true, Promised: own.Promised, Accepted: own.Accepted})
	others := without(change.base.everyone(), g.self.DiskID)
	replies := ask(others, func(to Member) (promiseAnswer, error) {
		mine := request
		mine.Target = to.DiskID
		var answer promiseAnswer
		_, err := g.call(ctx, g.timing.RoundTimeout, to, methodPromise, mine, nil, &answer)
		return answer, err
	})
	awaited := others
	if request.Trial {
		awaited = nil
	}
	waitRound(ctx, replies, others, awaitedOf(awaited, change), func(member Member, answer promiseAnswer) bool {
		collected.note(member, answer)
		return collected.isQuorum()
	})
	g.noteEpoch(collected.highest)
	g.learn(&collected.newest)
	if !collected.isQuorum() {
		return collected, trace.Wrap(ErrNoQuorum)
	}
	return collected, nil
}

// awaitedOf returns the disks of the members whose promises are waited for.
func awaitedOf(members []Member, change viewChange) map[string]bool {
	awaited := map[string]bool{}
	for _, member := range members {
		if !change.silent[member.DiskID] && !change.excluded[member.DiskID] {
			awaited[member.DiskID] = true
		}
	}
	return awaited
}

// collectAcceptances has the view accepted by a majority, and returns who has accepted it by then.
func (g *Group) collectAcceptances(ctx context.Context, view View, founding bool) (map[string]time.Time, error) {
	asked := time.Now()
	accepted := map[string]time.Time{}
	everyone := view.everyone()
	replies := ask(everyone, func(to Member) (acceptAnswer, error) {
		if to.DiskID == g.self.DiskID {
			done, err := g.witness.accept(view)
			return acceptAnswer{Accepted: done}, err
		}
		return g.sendAccept(g.ctx, to, view, founding)
	})
	inForce := func() bool {
		return view.quorum(func(diskID string) bool { return !accepted[diskID].IsZero() })
	}
	self := map[string]bool{g.self.DiskID: true}
	waitRound(ctx, replies, everyone, self, func(member Member, answer acceptAnswer) bool {
		if answer.Accepted {
			accepted[member.DiskID] = asked
		}
		return inForce()
	})
	if !inForce() || accepted[g.self.DiskID].IsZero() {
		return nil, trace.Wrap(ErrNoQuorum)
	}
	return accepted, nil
}

// sendAccept asks a member to accept a view.
func (g *Group) sendAccept(ctx context.Context, to Member, view View, founding bool) (acceptAnswer, error) {
	var answer acceptAnswer
	request := acceptRequest{Target: to.DiskID, View: view, Founding: founding}
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAccept, request, nil, &answer)
	return answer, err
}

// reply is a member's answer in a round.
type reply[Answer any] struct {
	member Member
	answer Answer
	err    error
}

// ask makes a call to each member at once. The answers come by the channel, which has room for all of them.
func ask[Answer any](members []Member, call func(Member) (Answer, error)) <-chan reply[Answer] {
	replies := make(chan reply[Answer], len(members))
	for _, member := range members {
		go func() {
			answer, err := call(member)
			replies <- reply[Answer]{member, answer, err}
		}()
	}
	return replies
}

// waitRound takes the answers of a round. It returns when note has told that enough have come and those that are
// awaited have answered or a grace period is over, and when all have answered.
func waitRound[Answer any](
	ctx context.Context, replies <-chan reply[Answer], asked []Member, awaited map[string]bool,
	note func(Member, Answer) bool,
) {
	var grace <-chan time.Time
	var timer *time.Timer
	defer func() {
		if timer != nil {
			timer.Stop()
		}
	}()
	for range asked {
		select {
		case received := <-replies:
			delete(awaited, received.member.DiskID)
			enough := grace != nil
			if received.err == nil {
				enough = note(received.member, received.answer)
			}
			if enough && len(awaited) == 0 {
				return
			}
			if enough && timer == nil {
				timer = time.NewTimer(stragglerGrace)
				grace = timer.C
			}
		case <-grace:
			return
		case <-ctx.Done():
			return
		}
	}
}

// imageOnce is this replica's image, made when it is first needed.
type imageOnce struct {
	once sync.Once
	data []byte
	last position
	err  error
}

func (i *imageOnce) get(from *replica) ([]byte, position, error) {
	i.once.Do(func() { i.data, i.last, i.err = from.image() })
	return i.data, i.last, i.err
}
