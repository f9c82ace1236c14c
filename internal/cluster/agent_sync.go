package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/ctxtime"
)

const (
	syncWait        = 400 * time.Millisecond // how long a member may hold back its response
	syncTimeout     = 350 * time.Millisecond // initial time limit of a response in addition to the wait
	roundRetryDelay = 100 * time.Millisecond // delay after a round in which no known member has served
	// noLeaseWait replaces syncWait while there is no valid lease. A lease begins only once the primary knows of a
	// renewal, so the agent syncs again soon.
	noLeaseWait = 100 * time.Millisecond
	// maxSyncTimeout limits the time limit of a response, which doubles after each round in which no member has served: a
	// large configuration may take longer than syncTimeout to transfer.
	maxSyncTimeout = 4 * time.Second
	// preferenceInterval is how often an agent checks whether another member than the serving one is preferred.
	preferenceInterval = 10 * time.Second
)

// Run renews the lease and keeps the snapshots current until the context ends.
func (a *Agent) Run(ctx context.Context) {
	failedMember := "" // the member that served in the last round and then failed
	a.responseTimeout.Store(int64(syncTimeout))
	for ctx.Err() == nil {
		a.discover(ctx)
		served, reason := a.syncRound(ctx, failedMember)
		if ctx.Err() != nil {
			return
		}
		if served == "" {
			failedMember = ""
			a.responseTimeout.Store(min(2*a.responseTimeout.Load(), int64(maxSyncTimeout)))
			a.querySeeds(ctx)
			ctxtime.Sleep(ctx, roundRetryDelay)
			continue
		}
		failedMember = ""
		if reason != nil {
			failedMember = served
		}
	}
}

// syncRound tries each known member in turn, with avoid as the last one, and syncs with the first that serves for as
// long as it does. It returns that member and why the syncs ended: an error, or nil if another member is preferred. It
// returns "" if no member has served.
func (a *Agent) syncRound(ctx context.Context, avoid string) (string, error) {
	addresses := a.candidates()
	if i := slices.Index(addresses, avoid); i >= 0 {
		addresses = append(slices.Delete(addresses, i, i+1), avoid)
	}
	for _, address := range addresses {
		served, err := a.syncWith(ctx, address)
		if served || ctx.Err() != nil {
			return address, err
		}
	}
	return "", nil
}

// syncWith syncs with one member until a sync fails or another member is preferred. It reports whether the member has
// served at least one sync.
func (a *Agent) syncWith(ctx context.Context, address string) (bool, error) {
	served := false
	wait := time.Duration(0)
	begin := time.Now()
	for ctx.Err() == nil {
		if err := a.sync(ctx, address, wait); err != nil {
			a.logger.Debug("sync failed", zap.String("member", address), zap.Error(err))
			return served, err
		}
		served = true
		wait = syncWait
		if !a.LeaseValid() {
			wait = noLeaseWait
		}
		a.responseTimeout.Store(int64(syncTimeout))
		a.servingMember.Store(&address)
		if time.Since(begin) > preferenceInterval {
			begin = time.Now()
			if candidates := a.candidates(); len(candidates) > 0 && candidates[0] != address {
				return true, nil
			}
		}
	}
	return served, ctx.Err()
}

// Renew renews the lease at once by an additional sync, for example after a change in the process's NodeInfo.
func (a *Agent) Renew(ctx context.Context) error {
	member := a.servingMember.Load()
	if member == nil {
		return trace.ConnectionProblem(nil, "no member of the control group has served yet")
	}
	return a.sync(ctx, *member, 0)
}

// sync renews the lease at a member and applies the newer snapshots in its response.
func (a *Agent) sync(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(a.responseTimeout.Load()))
	defer cancel()
	request := a.syncRequest(wait)
	sent := time.Now()
	var response SyncResponse
	body, err := a.options.Pool.Get(address).Call(ctx, MethodSync, request, nil, &response)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(a.applyResponse(&request, &response, body, sent))
}

// syncRequest returns a request with the versions of the current snapshots.
func (a *Agent) syncRequest(wait time.Duration) SyncRequest {
	request := SyncRequest{Node: a.options.Info(), WaitMS: wait.Milliseconds()}
	if config := a.config.Load(); config != nil {
		request.ConfigVersion = config.Version()
	}
	if table := a.table.Load(); table != nil {
		request.TableRevision = table.Revision
	}
	if workers := a.workers.Load(); workers != nil {
		request.WorkersEpoch, request.WorkersRevision = workers.Epoch, workers.Revision
	}
	return request
}

// applyResponse applies a response to the snapshots and renews the lease. The lease counts from sent, the time at which
// the request was sent, minus the age of the lease in the response.
func (a *Agent) applyResponse(request *SyncRequest, response *SyncResponse, body []byte, sent time.Time) error {
	body, err := decompressBody(response, body)
	if err != nil {
		return err
	}
	// The lease is renewed only after the subscribers have the snapshots, so that they never act under a renewed lease by
	// an older table.
	a.applyMutex.Lock()
	defer a.applyMutex.Unlock()
	changed, err := a.applyConfig(request, response, body)
	changed = a.applyTable(response.Table) || changed
	changed = a.applyTableChanges(response.TableChanges) || changed
	changed = a.applyWorkers(response.Workers) || changed
	changed = a.applyWorkerChanges(response.WorkerChanges) || changed
	if response.WorkersAgeMS >= 0 {
		read := time.Now().Add(-time.Duration(response.WorkersAgeMS) * time.Millisecond)
		a.workersReadAt.Store(&read)
		a.workerCount.Store(int64(response.WorkerCount))
	}
	if changed {
		a.notify()
		a.saveMembersInBackground()
	}
	if err == nil && response.LeaseAgeMS != NoLease {
		a.recordRenewal(sent.Add(-time.Duration(response.LeaseAgeMS) * time.Millisecond))
	}
	return err
}

// decompressBody returns the body of a response, decompressed if necessary.
func decompressBody(response *SyncResponse, body []byte) ([]byte, error) {
	if !response.Compressed {
		return body, nil
	}
	return Decompress(body)
}

// recordRenewal stores when a successful renewal was sent, unless a later one is already stored.
func (a *Agent) recordRenewal(sent time.Time) {
	for {
		known := a.leaseRenewedAt.Load()
		if known != nil && !sent.After(*known) || a.leaseRenewedAt.CompareAndSwap(known, &sent) {
			return
		}
	}
}
