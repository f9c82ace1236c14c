package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/rpc"
)

// longestSyncWait bounds how long the answer to a sync is held back.
const longestSyncWait = 400 * time.Millisecond

const (
	methodRenew = "control.renew" // passedLease -> empty, at the primary

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
	role, fresh := p.member.freshRole()
	if !fresh {
		return nil, nil, unavailable("not in touch with the primary")
	}
	p.leases.Renew(request.Node, arrived)
	p.confirmLease(ctx, role, &request.Node, arrived)
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, longestSyncWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		stateChanged := p.state.Changed()
		workersChanged := p.workersChangedFor(&request)
		response, body, err := p.news(&request)
		if err != nil {
			return nil, nil, err
		}
		response.LeaseAgeMS = p.leaseAge(&request.Node, arrived)
		if packed, pays := p.packBody(&request, response, body); pays {
			response.Compressed = true
			body = packed
		}
		if response.hasNews() || wait <= 0 {
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
		p.logger.Debug("renewal not passed on", zap.String("node", node.Name), zap.Error(err))
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

// leaseAge returns how long before an arrival the lease of a process began that the primary surely knows of, or -1 where
// there is none. Only a store must not act after its end.
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

// packBody compresses the body of an answer: a configuration of many routes takes long over the links of small machines,
// and all processes ask for it at once.
func (p *Plane) packBody(request *cluster.SyncRequest, response *syncNews, body []byte) ([]byte, bool) {
	if len(body) == 0 {
		return nil, false
	}
	from := request.ConfigVersion
	if len(response.ConfigUpdates) == 0 {
		from = 0
	}
	return p.packer.pack(from, response.ConfigVersion, body)
}

// workersChangedFor returns what is closed at the next change of the list of workers. A process that delivers nothing
// does not get the list and waits for no change of it.
func (p *Plane) workersChangedFor(request *cluster.SyncRequest) <-chan struct{} {
	if !request.Node.Store {
		return nil
	}
	return p.workers.Changed()
}

// syncNews is an answer to a sync. Its parts that many callers get alike are encoded once for all of them; they stand in
// the place of the fields of SyncResponse with the same names.
type syncNews struct {
	cluster.SyncResponse
	Table         json.RawMessage `json:"table,omitempty"`
	TableChanges  json.RawMessage `json:"tableChanges,omitempty"`
	Workers       json.RawMessage `json:"workers,omitempty"`
	WorkerChanges json.RawMessage `json:"workerChanges,omitempty"`
}

func (n *syncNews) hasNews() bool {
	return n.ConfigVersion != 0 || len(n.Table)+len(n.TableChanges)+len(n.Workers)+len(n.WorkerChanges) > 0
}

// newsCaches hold the encoded parts of answers to syncs.
type newsCaches struct {
	table   encodeCache[uint64]
	workers encodeCache[cluster.WorkerVersion]
}

// addTable adds what is newer than a revision of the table.
func (p *Plane) addTable(response *syncNews, current *controlstate.State, revision uint64) error {
	newest := current.Table.Revision
	if newest <= revision {
		return nil
	}
	var err error
	changes, known := current.TableChangesSince(revision)
	if !known {
		response.Table, err = p.encoded.table.get(0, newest, current.Table)
		return trace.Wrap(err)
	}
	response.TableChanges, err = p.encoded.table.get(revision, newest, changes)
	return trace.Wrap(err)
}

// addWorkers adds what is newer than the list of workers that the caller holds.
func (p *Plane) addWorkers(response *syncNews, request *cluster.SyncRequest) error {
	workers, readAt := p.workers.Load()
	response.WorkersAgeMS = -1
	if workers == nil {
		return nil
	}
	response.WorkersAgeMS = time.Since(readAt).Milliseconds()
	response.WorkerCount = len(workers.Workers)
	held := cluster.WorkerVersion{Epoch: request.WorkersEpoch, Revision: request.WorkersRevision}
	if !request.Node.Store || !workers.Version().NewerThan(held) {
		return nil
	}
	var err error
	if changes, known := p.workers.ChangesSince(held); known {
		newest := changes[len(changes)-1].To
		response.WorkerChanges, err = p.encoded.workers.get(held, newest, changes)
		return trace.Wrap(err)
	}
	response.Workers, err = p.encoded.workers.get(cluster.WorkerVersion{}, workers.Version(), workers)
	return trace.Wrap(err)
}

// news collects what is newer than what the caller holds.
func (p *Plane) news(request *cluster.SyncRequest) (*syncNews, []byte, error) {
	current := p.state.Current()
	response := &syncNews{}
	if err := p.addTable(response, current, request.TableRevision); err != nil {
		return nil, nil, err
	}
	if err := p.addWorkers(response, request); err != nil {
		return nil, nil, err
	}
	return response, addConfiguration(response, current, request.ConfigVersion), nil
}

// addConfiguration announces what is newer than a version of the configuration, and returns it.
func addConfiguration(response *syncNews, current *controlstate.State, version uint64) []byte {
	if current.ConfigVersion() <= version {
		return nil
	}
	response.ConfigVersion = current.ConfigVersion()
	updates, found := current.ConfigUpdatesSince(version)
	if !found {
		return current.Document.JSON()
	}
	var body []byte
	for _, update := range updates {
		response.ConfigUpdates = append(response.ConfigUpdates, len(update.Body))
		body = append(body, update.Body...)
	}
	return body
}
