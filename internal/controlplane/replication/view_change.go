package replication

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// viewChange describes a view that is to be made with this process as the primary.
type viewChange struct {
	base      View // the newest view known; its members are called
	bootstrap bool // the base is the first view of a new group
	// derive returns the members of the new view, from the newest accepted one, or an error if the view must not be
	// made.
	derive func(newest View) (View, error)
	// unresponsive holds the disks whose promises the prepare round does not wait for.
	unresponsive map[string]bool
	// excluded holds the disks that must not enter the in-sync set. The prepare round does not wait for their promises
	// either.
	excluded map[string]bool
	// required is a disk that must enter the in-sync set; "" for none.
	required string
	// alwaysSendSnapshot means that every member that needs the snapshot gets it, not only if the in-sync set would be
	// too small otherwise.
	alwaysSendSnapshot bool
}

// establishedView is a view that is in force: a majority has accepted it.
type establishedView struct {
	view       View
	alignedAt  time.Time            // the attach calls to the in-sync set were sent at this time or later
	acceptedAt map[string]time.Time // when the accept calls to those that have accepted were sent, by disk id
}

// changeView makes a view: a majority of the newest view's members promises a new epoch, the in-sync set is aligned
// with this process's log, and a majority accepts the view. When it returns, the view is in force and this process's
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
	alignedAt := time.Now()
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
	return establishedView{view: view, alignedAt: alignedAt, acceptedAt: accepted}, nil
}

// prepareEpoch claims an epoch for this process. The process promises the epoch to itself, after which its log rejects
// entries from primaries of lower epochs, and collects the promises of a majority. prepareEpoch returns the end of the
// log and the result of the round.
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

// newestKnownView returns the newest view that this process has accepted or that others have reported, or nil if there
// is none.
func (g *Group) newestKnownView() *View {
	return newerView(g.witness.record().Accepted, g.learnedView.Load())
}

// learnView records a view that others have accepted.
func (g *Group) learnView(view *View) {
	if view.Epoch > 0 && view != g.newestKnownView() {
		g.learnedView.Store(newerView(g.learnedView.Load(), view))
	}
}

// observeEpoch records an epoch that a member has promised, so that the next one that this process claims is higher.
func (g *Group) observeEpoch(epoch uint64) {
	for known := g.highestEpoch.Load(); epoch > known; known = g.highestEpoch.Load() {
		if g.highestEpoch.CompareAndSwap(known, epoch) {
			return
		}
	}
}
