package controlplane

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/replication"
)

const (
	manageInterval    = 100 * time.Millisecond // between two looks at the leases
	rebalanceInterval = time.Second
	placementRest     = 300 * time.Millisecond // without a new store before the first placement
	proposeTimeout    = 2 * time.Second
	editQueueLength   = 256
)

// errOutdated means that a change of the table was computed from a table that is not the current one any more.
var errOutdated = errors.New("controlplane: the table changed meanwhile")

// editRequest asks the manager for a change of the table.
type editRequest struct {
	apply  func(*draft) error
	result chan error
}

// manager keeps the cluster table right while its process is the primary. It alone proposes changes of the table; all
// that wait at one moment go into one change.
type manager struct {
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

func newManager(plane *Plane) *manager {
	return &manager{plane: plane, edits: make(chan editRequest, editQueueLength), wake: make(chan struct{}, 1)}
}

// nudge has the manager look at once.
func (m *manager) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// edit has a function change the table's draft, and returns after the change is in force, or an error.
func (m *manager) edit(ctx context.Context, apply func(*draft) error) error {
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
		return replication.ErrUnknownOutcome
	}
}

func (m *manager) run(ctx context.Context) {
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
func (m *manager) collect(requests []editRequest) []editRequest {
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
func (m *manager) step(ctx context.Context, requests []editRequest) {
	role := m.plane.group.Role()
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
	draft := newDraft(current, m.plane.leases.Statuses(now), m.plane.redundancy())
	draft.updateStores()
	m.holdForRestarts(draft, now)
	granted := applyEdits(draft, requests)
	m.plan(draft, role, now)
	finish(granted, m.propose(ctx, draft.diff(current)))
}

// holdForRestarts keeps copies in their places for a while after their stores were found dead.
func (m *manager) holdForRestarts(draft *draft, now time.Time) {
	found := draft.findOutage(now)
	if len(found.dead) == 0 {
		return
	}
	if until := found.holdUntil(draft.copies-1, m.leadingSince); until.After(now) {
		draft.held = found.dead
		time.AfterFunc(until.Sub(now), m.nudge)
	}
}

// begin starts the reign of this process: every store that is not known to be down gets a full lease.
func (m *manager) begin(now time.Time) {
	m.leading, m.leadingSince = true, now
	m.lastNewStore, m.knownStores = now, 0
	table := m.plane.state.Current().Table
	m.inherited = table.Deliverers
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

// applyEdits has each request change the draft. It answers those that fail, and returns the others.
func applyEdits(draft *draft, requests []editRequest) []editRequest {
	var granted []editRequest
	for _, request := range requests {
		if err := request.apply(draft); err != nil {
			request.result <- err
			continue
		}
		granted = append(granted, request)
	}
	return granted
}

func finish(requests []editRequest, err error) {
	for _, request := range requests {
		request.result <- err
	}
}

// plan makes all changes of the draft that follow from the leases and the group's view.
func (m *manager) plan(draft *draft, role replication.Role, now time.Time) {
	draft.updateCore(role.View)
	draft.updateStores() // edits may have made stores retire
	if len(draft.stores) != m.knownStores {
		m.knownStores, m.lastNewStore = len(draft.stores), now
	}
	if now.Sub(m.lastNewStore) >= placementRest {
		draft.placeInitially()
	}
	if more := draft.repair(); more {
		m.nudge()
	}
	if now.Sub(m.lastRebalance) >= rebalanceInterval && now.Sub(m.leadingSince) > cluster.LeaseDuration {
		m.lastRebalance = now
		draft.rebalance()
	}
	draft.completeJobs()
	draft.updateDeliverers(now)
	if now.Sub(m.leadingSince) < delivererMemory {
		draft.deliverers = max(draft.deliverers, m.inherited)
	}
}

// propose has the group take a change of the table, if there is any.
func (m *manager) propose(ctx context.Context, table *controlstate.TableChange) error {
	if table == nil {
		return nil
	}
	table.ID = fmt.Sprintf("%s-%d", m.plane.options.Info.Incarnation, m.changes.Add(1))
	record, err := (&controlstate.Change{Table: table}).Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if err := m.plane.group.Propose(ctx, record); err != nil {
		m.plane.logger.Info("change of the table failed", zap.Error(err))
		return err
	}
	if m.plane.state.Current().LastChangeID != table.ID {
		return errOutdated
	}
	return nil
}

// updateCore lists the group's members and its primary.
func (d *draft) updateCore(view replication.View) {
	core := make([]cluster.CoreEntry, 0, len(view.Members))
	for _, member := range view.Members {
		if member.DiskID == view.Primary {
			d.primary = member.Name
		}
		core = append(core, cluster.CoreEntry{
			Name: member.Name, Address: member.Address, DiskID: member.DiskID, Zone: d.zoneOfMember(member),
		})
	}
	slices.SortFunc(core, func(a, b cluster.CoreEntry) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.DiskID, b.DiskID))
	})
	d.core = core
}

// zoneOfMember returns the zone that a member has announced, as far as it is known.
func (d *draft) zoneOfMember(member replication.Member) string {
	if node, found := d.nodes[member.Name]; found {
		return node.Info.Zone
	}
	for _, known := range d.core {
		if known.Name == member.Name {
			return known.Zone
		}
	}
	return ""
}
