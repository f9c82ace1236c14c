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
var errSuperseded = errors.New("replication: overtaken by a newer view")

// viewChange describes a view that is to be made with this process as the primary.
type viewChange struct {
	base      View // the newest view known; its members are asked
	bootstrap bool // the base is the view that a new group begins with
	// next derives the members of the new view from the newest accepted one, or refuses.
	derive func(newest View) (View, error)
	// silent holds the disks whose promises are not waited for.
	unresponsive map[string]bool
	// excluded holds the disks that don't enter the in-sync set. They are not waited for either.
	excluded map[string]bool
	// required is a disk that must enter the in-sync set; "" for none.
	required string
	// copyAlways has the whole state sent to everyone who needs it, not only where the in-sync set is too small.
	alwaysSendSnapshot bool
}

// madeView is a view that is in force.
type establishedView struct {
	view       View
	alignedAt  time.Time            // when the in-sync set was asked to follow the log
	acceptedAt map[string]time.Time // when those who have accepted it were asked, by disk id
}

// changeView makes a view: promises are collected from a majority of the newest view's members, the in-sync set is
// aligned with this process's log, and a majority accepts. When it returns, the view is in force and this process's
// whole log is committed.
func (g *Group) changeView(ctx context.Context, change viewChange) (establishedView, error) {
	g.viewChanges.acquire()
	defer g.viewChanges.release()
	epoch, err := g.preVote(ctx, change)
	if err != nil {
		return establishedView{}, trace.Wrap(err)
	}
	last, collected, err := g.prepareEpoch(ctx, epoch, change)
	if err != nil {
		return establishedView{}, trace.Wrap(err)
	}
	view, err := change.derive(collected.newest)
	if err != nil {
		return establishedView{}, trace.Wrap(err)
	}
	view.Epoch, view.Primary = epoch, g.self.DiskID
	aligned := time.Now()
	view.InSync, err = g.alignInSync(ctx, view, last, change, collected.granted)
	if err != nil {
		return establishedView{}, trace.Wrap(err)
	}
	accepted, err := g.collectAcceptances(ctx, view, change.bootstrap)
	if err != nil {
		return establishedView{}, trace.Wrap(err)
	}
	if attached, _ := g.replica.commit(epoch, last.Index); !attached {
		return establishedView{}, trace.Wrap(errSuperseded)
	}
	g.logger.Info("view in force", zap.Uint64("epoch", epoch), zap.Int("members", len(view.Members)),
		zap.Int("inSync", len(view.InSync)), zap.Uint64("index", last.Index))
	return establishedView{view: view, alignedAt: aligned, acceptedAt: accepted}, nil
}

// tryPromises asks without effect whether a majority would promise, so that no epoch is used up in vain, and returns
// an epoch that is higher than all that were promised.
func (g *Group) preVote(ctx context.Context, change viewChange) (uint64, error) {
	request := prepareRequest{Epoch: g.witness.record().Promised + 1, PreVote: true}
	collected, err := g.collectPromises(ctx, change, request)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if _, err := change.derive(collected.newest); err != nil {
		return 0, trace.Wrap(err)
	}
	return g.highestEpoch.Load() + 1, nil
}

// noteEpoch remembers an epoch that was promised, so that the next one taken is higher.
func (g *Group) observeEpoch(epoch uint64) {
	for known := g.highestEpoch.Load(); epoch > known; known = g.highestEpoch.Load() {
		if g.highestEpoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}

// takeEpoch takes the epoch for this process: by its own promise, after which its log takes nothing from older
// primaries, and by those of a majority. It returns the end of the log and what the round brought.
func (g *Group) prepareEpoch(ctx context.Context, epoch uint64, change viewChange) (position, promises, error) {
	promised, err := g.witness.promise(epoch, g.self.DiskID)
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	if !promised {
		return position{}, promises{}, trace.Wrap(errSuperseded)
	}
	last, err := g.replica.beginEpoch(epoch)
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	collected, err := g.collectPromises(ctx, change, prepareRequest{Epoch: epoch})
	if err != nil {
		return position{}, promises{}, trace.Wrap(err)
	}
	if collected.newest.Epoch >= epoch {
		return position{}, promises{}, trace.Wrap(errSuperseded)
	}
	return last, collected, nil
}

// promises is what a round of promises brought.
type promises struct {
	granted map[string]bool
	highest uint64 // the highest epoch that anyone has promised
	newest  View   // the newest view that anyone has accepted
}

func (p *promises) add(member Member, response prepareResponse) {
	if response.Granted {
		p.granted[member.DiskID] = true
	}
	p.highest = max(p.highest, response.Promised)
	if response.Accepted != nil && response.Accepted.Epoch > p.newest.Epoch {
		p.newest = *response.Accepted
	}
}

func (p *promises) hasQuorum() bool {
	return p.newest.hasQuorum(func(diskID string) bool { return p.granted[diskID] })
}

// collectPromises asks the members of the newest known view for their promises. The majority that it needs is one of
// the newest view it comes to know.
func (g *Group) collectPromises(ctx context.Context, change viewChange, request prepareRequest) (promises, error) {
	request.Candidate, request.View, request.Bootstrap = g.self.DiskID, change.base, change.bootstrap
	own := g.witness.record()
	collected := promises{granted: map[string]bool{}, newest: change.base}
	collected.add(g.self, prepareResponse{Granted: true, Promised: own.Promised, Accepted: own.Accepted})
	others := withoutDisk(change.base.allMembers(), g.self.DiskID)
	replies := broadcast(others, func(to Member) (prepareResponse, error) {
		mine := request
		mine.Target = to.DiskID
		var response prepareResponse
		_, err := g.call(ctx, g.timing.RoundTimeout, to, methodPrepare, mine, nil, &response)
		return response, err
	})
	awaited := others
	if request.PreVote {
		awaited = nil
	}
	awaitRound(ctx, replies, others, awaitedOf(awaited, change), func(member Member, response prepareResponse) bool {
		collected.add(member, response)
		return collected.hasQuorum()
	})
	g.observeEpoch(collected.highest)
	g.learnView(&collected.newest)
	if !collected.hasQuorum() {
		return collected, trace.Wrap(ErrNoQuorum)
	}
	return collected, nil
}

// awaitedOf returns the disks of the members whose promises are waited for.
func awaitedOf(members []Member, change viewChange) map[string]bool {
	awaited := map[string]bool{}
	for _, member := range members {
		if !change.unresponsive[member.DiskID] && !change.excluded[member.DiskID] {
			awaited[member.DiskID] = true
		}
	}
	return awaited
}

// collectAcceptances has the view accepted by a majority, and returns who has accepted it by then.
func (g *Group) collectAcceptances(ctx context.Context, view View, founding bool) (map[string]time.Time, error) {
	asked := time.Now()
	accepted := map[string]time.Time{}
	everyone := view.allMembers()
	replies := broadcast(everyone, func(to Member) (acceptResponse, error) {
		if to.DiskID == g.self.DiskID {
			done, err := g.witness.accept(view)
			return acceptResponse{Accepted: done}, err
		}
		return g.sendAccept(g.ctx, to, view, founding)
	})
	inForce := func() bool {
		return view.hasQuorum(func(diskID string) bool { return !accepted[diskID].IsZero() })
	}
	self := map[string]bool{g.self.DiskID: true}
	awaitRound(ctx, replies, everyone, self, func(member Member, response acceptResponse) bool {
		if response.Accepted {
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
func (g *Group) sendAccept(ctx context.Context, to Member, view View, founding bool) (acceptResponse, error) {
	var response acceptResponse
	request := acceptRequest{Target: to.DiskID, View: view, Bootstrap: founding}
	_, err := g.call(ctx, g.timing.RoundTimeout, to, methodAccept, request, nil, &response)
	return response, err
}

// reply is a member's answer in a round.
type memberResponse[Response any] struct {
	member   Member
	response Response
	err      error
}

// ask makes a call to each member at once. The answers come by the channel, which has room for all of them.
func broadcast[Response any](members []Member, call func(Member) (Response, error)) <-chan memberResponse[Response] {
	replies := make(chan memberResponse[Response], len(members))
	for _, member := range members {
		go func() {
			response, err := call(member)
			replies <- memberResponse[Response]{member, response, err}
		}()
	}
	return replies
}

// waitRound takes the answers of a round. It returns when note has told that enough have come and those that are
// awaited have answered or a grace period is over, and when all have answered.
func awaitRound[Response any](
	ctx context.Context, replies <-chan memberResponse[Response], asked []Member, awaited map[string]bool,
	note func(Member, Response) bool,
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
				enough = note(received.member, received.response)
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
type lazySnapshot struct {
	once sync.Once
	data []byte
	last position
	err  error
}

func (i *lazySnapshot) get(from *replica) ([]byte, position, error) {
	i.once.Do(func() { i.data, i.last, i.err = from.snapshot() })
	return i.data, i.last, i.err
}
