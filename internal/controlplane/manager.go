package controlplane

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/bootstrap"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
)

const (
	manageInterval     = 100 * time.Millisecond // between two looks at the leases
	rebalanceInterval  = time.Second
	placementDelay     = 300 * time.Millisecond // without a new store before the first placement
	proposeTimeout     = 2 * time.Second
	requestQueueLength = 256
)

// errOutdated means that a change of the table was computed from a table that is not the current one any more.
var errOutdated = errors.New("controlplane: the table changed meanwhile")

// editRequest asks the manager for a change of the table.
type editRequest struct {
	apply  func(*placement.Builder) error
	result chan error
}

// tableManager keeps the cluster table right while its process is the primary. It alone proposes changes of the table;
// all requests that wait at one moment go into one change. Its fields belong to the goroutine of run, apart from the
// channels.
type tableManager struct {
	plane *Plane
	edits chan editRequest
	wake  chan struct{}

	leading       bool
	leadingSince  time.Time
	lastNewStore  time.Time
	knownStores   int
	inherited     int // deliverers as the primary before counted them
	lastRebalance time.Time
	changes       atomic.Uint64 // proposed by this process, for their ids
}

func newTableManager(plane *Plane) *tableManager {
	return &tableManager{
		plane: plane,
		edits: make(chan editRequest, requestQueueLength),
		wake:  make(chan struct{}, 1),
	}
}

// nudge has the manager look at once.
func (m *tableManager) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Edit has a function change the table in the making, and returns after the change is in force, or an error.
func (m *tableManager) Edit(ctx context.Context, apply func(*placement.Builder) error) error {
	request := editRequest{apply: apply, result: make(chan error, 1)}
	select {
	case m.edits <- request:
	case <-ctx.Done():
		return replication.ErrNotPrimary // nothing was done
	}
	select {
	case err := <-request.result:
		return err
	case <-ctx.Done():
		return replication.ErrOutcomeUnknown
	}
}

func (m *tableManager) run(ctx context.Context) {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		var requests []editRequest
		var tick <-chan time.Time // only the primary looks at the leases
		if m.leading {
			tick = ticker.C
		}
		select {
		case <-ctx.Done():
			return
		case request := <-m.edits:
			requests = append(requests, request)
		case <-m.wake:
		case <-tick:
		}
		m.step(ctx, m.collect(requests))
	}
}

// collect adds all requests that wait.
func (m *tableManager) collect(requests []editRequest) []editRequest {
	for {
		select {
		case request := <-m.edits:
			requests = append(requests, request)
		default:
			return requests
		}
	}
}

// step brings the table up to date once.
func (m *tableManager) step(ctx context.Context, requests []editRequest) {
	role := m.plane.member.Role()
	if !role.Primary {
		m.leading = false
		finish(requests, replication.ErrNotPrimary)
		return
	}
	now := time.Now()
	if !m.leading {
		m.begin(now)
	}
	current := m.plane.state.Current()
	builder := placement.NewBuilder(current, m.plane.leases.Statuses(now), m.plane.redundancy())
	builder.UpdateStores()
	m.awaitRestarts(builder, now)
	applied := applyEdits(builder, requests)
	m.plan(builder, role, now)
	finish(applied, m.propose(ctx, builder.Diff(current)))
}

// awaitRestarts keeps replicas in their places for a while after their stores were found dead.
func (m *tableManager) awaitRestarts(builder *placement.Builder, now time.Time) {
	if until, waits := builder.AwaitRestarts(now, m.leadingSince); waits {
		time.AfterFunc(until.Sub(now), m.nudge)
	}
}

// begin starts the leadership of this process: every store that is not known to be down gets a full lease.
func (m *tableManager) begin(now time.Time) {
	m.leading, m.leadingSince = true, now
	m.lastNewStore, m.knownStores = now, 0
	table := m.plane.state.Current().Table
	m.inherited = table.DeliveringStores
	for _, entry := range table.Stores {
		if entry.State == cluster.StoreDown {
			continue
		}
		m.plane.leases.Grant(cluster.NodeInfo{
			Name: entry.Name, Class: "store", Zone: entry.Zone, Address: entry.Address,
			Incarnation: entry.Incarnation, DiskID: entry.DiskID, Store: true,
			Draining: entry.State == cluster.StoreDraining,
		}, now)
	}
}

// applyEdits has each request change the table in the making. It answers those that fail, and returns the others.
func applyEdits(builder *placement.Builder, requests []editRequest) []editRequest {
	var applied []editRequest
	for _, request := range requests {
		if err := request.apply(builder); err != nil {
			request.result <- err
			continue
		}
		applied = append(applied, request)
	}
	return applied
}

func finish(requests []editRequest, err error) {
	for _, request := range requests {
		request.result <- err
	}
}

// plan makes all changes of the table that follow from the leases and the group's view.
func (m *tableManager) plan(builder *placement.Builder, role replication.Role, now time.Time) {
	builder.UpdateCore(bootstrap.CoreEntries(role.View.Members), role.View.Primary)
	builder.UpdateStores() // edits may have made stores retire
	if count := builder.StoreCount(); count != m.knownStores {
		m.knownStores, m.lastNewStore = count, now
	}
	if now.Sub(m.lastNewStore) >= placementDelay {
		builder.PlaceInitially()
	}
	if more := builder.Repair(); more {
		m.nudge()
	}
	if now.Sub(m.lastRebalance) >= rebalanceInterval && now.Sub(m.leadingSince) > cluster.LeaseDuration {
		m.lastRebalance = now
		builder.Rebalance()
	}
	builder.CompleteRetireJobs()
	inherited := 0
	if now.Sub(m.leadingSince) < placement.DelivererMemory {
		inherited = m.inherited
	}
	builder.UpdateDeliverers(now, inherited)
}

// propose has the group take a change of the table, if there is any.
func (m *tableManager) propose(ctx context.Context, change *controlstate.TableChange) error {
	if change == nil {
		return nil
	}
	change.ID = fmt.Sprintf("%s-%d", m.plane.options.Info.Incarnation, m.changes.Add(1))
	record, err := (&controlstate.Change{Table: change}).Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.plane.member.Propose(ctx, record); err != nil {
		m.plane.logger.Info("change of the table failed", zap.Error(err))
		return err
	}
	if m.plane.state.Current().LastChangeID != change.ID {
		return errOutdated
	}
	return nil
}
