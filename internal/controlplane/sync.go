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

// longestSyncWait bounds how long the answer to a sync is held back.
const longestSyncWait = 400 * time.Millisecond

const (
	methodRenew = "control.renew" // lease.Renewal -> empty, at the primary

	// directRenewalAfter is the age from which on a store's confirmed renewal is too old to wait for the next heartbeat.
	directRenewalAfter   = 600 * time.Millisecond
	directRenewalTimeout = 150 * time.Millisecond
)

// handleSync renews the caller's lease and answers with what is newer than what it holds, as soon as there is
// something or the time has passed.
func (p *Plane) handleSync(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.SyncRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	// A renewal counts from before the look at the role: a primary that leads after it knows of it, or begins later.
	arrived := time.Now()
	role, fresh := p.member.currentRole()
	if !fresh {
		return nil, nil, unavailable("not in touch with the primary")
	}
	p.leases.Renew(request.Node, arrived)
	p.confirmLease(ctx, role, &request.Node, arrived)
	return p.awaitUpdates(ctx, &request, arrived)
}

// awaitUpdates answers a sync as soon as there is something newer than what the caller holds, or the time has passed.
func (p *Plane) awaitUpdates(ctx context.Context, request *cluster.SyncRequest, arrived time.Time) (any, []byte, error) {
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, longestSyncWait)
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
			return nil, nil, unavailable("the caller has gone")
		}
	}
}

// confirmLease sees to it that the primary knows of a store's renewal. Most become known with the next answer to a
// heartbeat; where the last one that did is missing or old, as after a start, the primary is told at once.
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
		p.logger.Debug("renewal not forwarded", zap.String("node", node.Name), zap.Error(err))
		return
	}
	p.leases.ConfirmRenewal(node, arrived)
}

// handleRenew takes in a renewal that arrived at a backup. Where this succeeds, this process was the primary after that.
func (p *Plane) handleRenew(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var renewal lease.Renewal
	if err := call.Decode(&renewal); err != nil {
		return nil, nil, err
	}
	if renewal.Node == nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "no process is named"}
	}
	at := time.Now().Add(-time.Duration(renewal.AgeMS) * time.Millisecond)
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	p.leases.Renew(*renewal.Node, at)
	return nil, nil, nil
}

// leaseAge returns how long before an arrival the lease of a process began that the primary surely knows of, or
// cluster.NoLease where there is none. Only a store must not act after its end.
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
