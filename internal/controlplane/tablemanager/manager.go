// Package tablemanager keeps the cluster table up to date while its process is the control group's primary.
//
// Manager.Run reads the leases ten times a second, and at once after Wake or Edit. In each step it builds a table from
// the current one (package placement) and proposes the change, if there is one, to the group. Only the manager proposes
// changes of the table. All edits that are pending at the start of a step go into one change. If the table has changed
// before the group applies the change, the change has no effect: its edits fail with ErrOutdated, and the next step
// starts from the newer table.
//
// The manager has one goroutine, that of Run, which owns its fields. Wake and Edit reach it through channels and may
// be called from any goroutine. Start reading at Manager.step.
package tablemanager

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
)

const (
	manageInterval     = 100 * time.Millisecond // between two reads of the leases
	rebalanceInterval  = time.Second
	placementDelay     = 300 * time.Millisecond // without a new store, before the first placement
	proposeTimeout     = 2 * time.Second
	requestQueueLength = 256
)

// ErrOutdated means that a change had no effect, because the table that it was computed from is no longer the current
// one.
var ErrOutdated = errors.New("controlplane: the cluster table has changed since the change was computed")

// Group is the part of the control group's API that a Manager uses.
type Group interface {
	Role() replication.Role
	// Propose returns nil after the change is in force and stored on enough disks.
	Propose(ctx context.Context, change []byte) error
}

// Options configures a Manager.
type Options struct {
	Group       Group
	State       *controlstate.Machine
	Leases      *lease.Table
	Redundancy  placement.Redundancy
	Incarnation string // of this process; it makes the ids of changes unique
	Logger      *zap.Logger
}

// editRequest is a call of Edit that waits for the manager's goroutine.
type editRequest struct {
	apply  func(*placement.Builder) error
	result chan error
}

// Manager keeps the cluster table up to date while its process is the primary.
type Manager struct {
	options Options
	edits   chan editRequest
	wake    chan struct{}

	leading       bool
	leadingSince  time.Time
	lastNewStore  time.Time
	knownStores   int
	inherited     int // number of delivering stores that the former primary counted
	lastRebalance time.Time
	changes       uint64 // changes proposed by this process; a part of their ids
}

// New returns a manager. It does nothing before Run.
func New(options Options) *Manager {
	return &Manager{
		options: options,
		edits:   make(chan editRequest, requestQueueLength),
		wake:    make(chan struct{}, 1),
	}
}

// Wake wakes the manager, so that it starts a step at once. It never blocks.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Edit calls apply, in the manager's goroutine, on the table that is being built. It returns nil after the change is in
// force. Otherwise it returns the error of apply, an error of the group, or ErrOutdated. If the context ends first, it
// returns replication.ErrNotPrimary if the edit was not queued, and replication.ErrOutcomeUnknown if it was.
func (m *Manager) Edit(ctx context.Context, apply func(*placement.Builder) error) error {
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

// Run manages the table until the context ends. While its process is not the primary, edits fail with
// replication.ErrNotPrimary.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(manageInterval)
	defer ticker.Stop()
	for {
		var requests []editRequest
		var tick <-chan time.Time // nil unless this process is the primary: only the primary reads the leases
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

// collect appends all requests that are already queued.
func (m *Manager) collect(requests []editRequest) []editRequest {
	for {
		select {
		case request := <-m.edits:
			requests = append(requests, request)
		default:
			return requests
		}
	}
}

// step updates the table once: it applies the requests, plans the further changes, proposes them and answers the
// requests.
func (m *Manager) step(ctx context.Context, requests []editRequest) {
	role := m.options.Group.Role()
	if !role.Primary {
		m.leading = false
		finish(requests, replication.ErrNotPrimary)
		return
	}
	now := time.Now()
	if !m.leading {
		m.begin(now)
	}
	current := m.options.State.Current()
	builder := placement.NewBuilder(current, m.options.Leases.Statuses(now), m.options.Redundancy)
	builder.UpdateStores()
	m.awaitRestarts(builder, now)
	applied := applyEdits(builder, requests)
	m.plan(builder, role, now)
	finish(applied, m.propose(ctx, builder.Diff(current)))
}

// awaitRestarts keeps the replicas of stores that were found dead recently and may restart, and wakes the manager when
// that time has passed.
func (m *Manager) awaitRestarts(builder *placement.Builder, now time.Time) {
	if until, waits := builder.AwaitRestarts(now, m.leadingSince); waits {
		time.AfterFunc(until.Sub(now), m.Wake)
	}
}

// begin starts the leadership of this process. It grants a full lease to every store that is not known to be down.
func (m *Manager) begin(now time.Time) {
	m.leading, m.leadingSince = true, now
	m.lastNewStore, m.knownStores = now, 0
	table := m.options.State.Current().Table
	m.inherited = table.DeliveringStores
	for _, entry := range table.Stores {
		if entry.State == cluster.StoreDown {
			continue
		}
		m.options.Leases.Grant(cluster.NodeInfo{
			Name: entry.Name, Class: "store", Zone: entry.Zone, Address: entry.Address,
			Incarnation: entry.Incarnation, DiskID: entry.DiskID, Store: true,
			Draining: entry.State == cluster.StoreDraining,
		}, now)
	}
}

// applyEdits applies each request to the table that is being built. It answers the requests that fail and returns the
// others.
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

// finish answers the requests with the result of their change.
func finish(requests []editRequest, err error) {
	for _, request := range requests {
		request.result <- err
	}
}

// plan makes all changes of the table that follow from the leases, the group's view and the time.
func (m *Manager) plan(builder *placement.Builder, role replication.Role, now time.Time) {
	builder.UpdateControlGroup(membership.ControlMembers(role.View.Members), role.View.Primary)
	builder.UpdateStores() // edits may have made stores retire
	if count := builder.StoreCount(); count != m.knownStores {
		m.knownStores, m.lastNewStore = count, now
	}
	if now.Sub(m.lastNewStore) >= placementDelay {
		builder.PlaceInitially()
	}
	if more := builder.Repair(); more {
		m.Wake()
	}
	if now.Sub(m.lastRebalance) >= rebalanceInterval && now.Sub(m.leadingSince) > cluster.LeaseDuration {
		m.lastRebalance = now
		builder.Rebalance()
	}
	builder.CompleteRetireJobs()
	inherited := 0
	if now.Sub(m.leadingSince) < placement.DeliveringStoreRetention {
		inherited = m.inherited
	}
	builder.UpdateDeliveringStores(now, inherited)
}

// propose proposes a change of the table to the group. It does nothing if the change is nil.
func (m *Manager) propose(ctx context.Context, change *controlstate.TableChange) error {
	if change == nil {
		return nil
	}
	m.changes++
	change.ID = fmt.Sprintf("%s-%d", m.options.Incarnation, m.changes)
	record, err := (&controlstate.Change{Table: change}).Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.options.Group.Propose(ctx, record); err != nil {
		m.options.Logger.Info("failed to propose a change of the cluster table", zap.Error(err))
		return err
	}
	if m.options.State.Current().LastChangeID != change.ID {
		return ErrOutdated
	}
	return nil
}
