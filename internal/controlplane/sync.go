package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/rpc"
)

// maxSyncWait bounds how long the response to a sync is delayed while there are no updates.
const maxSyncWait = 400 * time.Millisecond

const (
	methodRenew = "control.renew" // lease.Renewal -> empty, at the primary

	// directRenewalAfter is the minimum age of a store's newest confirmed renewal at which a backup forwards the next
	// renewal to the primary at once, instead of with the next response to a heartbeat.
	directRenewalAfter   = 600 * time.Millisecond
	directRenewalTimeout = 150 * time.Millisecond
)

// handleSync serves cluster.MethodSync. It renews the caller's lease and responds with the state that is newer than the
// caller's, as soon as there is any, or with none after the requested wait.
func (p *Plane) handleSync(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.SyncRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	// The time of the renewal is taken before the role is read. A later primary then either knows of the renewal or
	// began to lead after it.
	arrived := time.Now()
	role, upToDate := p.member.currentRole()
	if !upToDate {
		return nil, nil, unavailable("not in touch with the primary")
	}
	p.leases.Renew(request.Node, arrived)
	p.confirmLease(ctx, role, &request.Node, arrived)
	return p.awaitUpdates(ctx, &request, arrived)
}

// awaitUpdates responds to a sync as soon as there is newer state than the caller's, or when the requested wait has
// passed.
func (p *Plane) awaitUpdates(ctx context.Context, request *cluster.SyncRequest, arrived time.Time) (any, []byte, error) {
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxSyncWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		stateChanged, workersChanged := p.updates.Changed(request)
		response, body, err := p.updates.Since(request)
		if err != nil {
			return nil, nil, err
		}
		response.LeaseAgeMS = p.leaseAge(&request.Node, arrived)
		body = p.updates.Compress(request, response, body)
		if response.HasUpdates() || wait <= 0 {
			return response, body, nil
		}
		select {
		case <-stateChanged:
		case <-workersChanged:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return nil, nil, unavailable("the caller cancelled the sync")
		}
	}
}

// confirmLease makes sure that the primary learns of a store's renewal. A backup forwards most renewals with its next
// response to a heartbeat. If the store has no confirmed renewal, or only an old one, as after a start, confirmLease
// forwards the renewal at once.
func (p *Plane) confirmLease(ctx context.Context, role replication.Role, node *cluster.NodeInfo, arrived time.Time) {
	if role.Primary {
		p.leases.ConfirmRenewal(node, arrived)
		return
	}
	confirmed, found := p.leases.ConfirmedAt(node.Name, node.Incarnation)
	if !node.Store || found && arrived.Sub(confirmed) < directRenewalAfter {
		return
	}
	primary, found := role.View.PrimaryMember()
	if !found {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, directRenewalTimeout)
	defer cancel()
	renewal := lease.Renewal{Node: node, AgeMS: time.Since(arrived).Milliseconds()}
	if _, err := p.options.Pool.Get(primary.Address).Call(ctx, methodRenew, renewal, nil, nil); err != nil {
		p.logger.Debug("failed to forward a lease renewal to the primary", zap.String("node", node.Name), zap.Error(err))
		return
	}
	p.leases.ConfirmRenewal(node, arrived)
}

// handleRenew serves methodRenew: it applies a renewal that arrived at a backup. If it succeeds, this process was still
// the primary after the renewal arrived.
func (p *Plane) handleRenew(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var renewal lease.Renewal
	if err := call.Decode(&renewal); err != nil {
		return nil, nil, err
	}
	if renewal.Node == nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "the renewal names no process"}
	}
	at := time.Now().Add(-time.Duration(renewal.AgeMS) * time.Millisecond)
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	p.leases.Renew(*renewal.Node, at)
	return nil, nil, nil
}

// leaseAge returns the age, in milliseconds at the time of arrival, of the caller's newest renewal that the primary is
// known to have, or cluster.NoLease if there is none. It returns 0 for a process that is not a store, because only a
// store must stop when its lease ends.
func (p *Plane) leaseAge(node *cluster.NodeInfo, arrived time.Time) int64 {
	if !node.Store {
		return 0
	}
	confirmed, found := p.leases.ConfirmedAt(node.Name, node.Incarnation)
	if !found {
		return cluster.NoLease
	}
	return max(0, arrived.Sub(confirmed).Milliseconds()+1)
}
