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
	syncTimeout     = 350 * time.Millisecond // how long a response may take beyond that
	noLeaseWait     = 100 * time.Millisecond // syncWait while there is no lease: one begins when the primary knows of a renewal
	roundRetryDelay = 100 * time.Millisecond // between two rounds in which no known member has served
	// A large configuration takes a while to transfer: the time limit of responses doubles up to this while no member serves.
	maxSyncTimeout = 4 * time.Second
	// An agent that is not served by the preferred member tries that one again after so long.
	preferenceInterval = 10 * time.Second
)

// Run renews the lease and keeps the snapshots current until the context ends.
func (a *Agent) Run(ctx context.Context) {
	failed := "" // the member that served last and then failed
	a.responseTimeout.Store(int64(syncTimeout))
	for ctx.Err() == nil {
		a.discover(ctx)
		served, reason := a.syncRound(ctx, failed)
		if ctx.Err() != nil {
			return
		}
		if served == "" {
			failed = ""
			a.responseTimeout.Store(min(2*a.responseTimeout.Load(), int64(maxSyncTimeout)))
			a.querySeeds(ctx)
			ctxtime.Sleep(ctx, roundRetryDelay)
			continue
		}
		failed = ""
		if reason != nil {
			failed = served
		}
	}
}

// syncRound tries each known member in turn, the one to avoid last, and stays with the first that serves, for as
// long as it does. It returns that member and why it was left: an error, or nil where another member is to be
// preferred.
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

// syncWith syncs with one member until that fails or another one is to be preferred, and reports whether it served.
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

// Renew announces the process at once, by an extra sync, as after a change of what it announces.
func (a *Agent) Renew(ctx context.Context) error {
	member := a.servingMember.Load()
	if member == nil {
		return trace.ConnectionProblem(nil, "no member of the control group has served yet")
	}
	return a.sync(ctx, *member, 0)
}

// sync renews the lease at a member and adopts what is newer there.
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
	return trace.Wrap(a.accept(&request, &response, body, sent))
}

// syncRequest returns the request that names the versions held here.
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

// accept applies a response. The lease counts from the sending of this request, or from an earlier time that the
// response names.
func (a *Agent) accept(request *SyncRequest, response *SyncResponse, body []byte, sent time.Time) error {
	body, err := decompressBody(response, body)
	if err != nil {
		return err
	}
	// The lease is renewed after the subscribers have the snapshots: whoever acts by the lease acts by the newest table.
	a.applying.Lock()
	defer a.applying.Unlock()
	changed, err := a.acceptConfig(request, response, body)
	changed = a.acceptTable(response.Table) || changed
	changed = a.acceptTableChanges(response.TableChanges) || changed
	changed = a.acceptWorkers(response.Workers) || changed
	changed = a.acceptWorkerChanges(response.WorkerChanges) || changed
	if response.WorkersAgeMS >= 0 {
		read := time.Now().Add(-time.Duration(response.WorkersAgeMS) * time.Millisecond)
		a.workersReadAt.Store(&read)
		a.workerCount.Store(int64(response.WorkerCount))
	}
	if changed {
		a.notify()
		a.saveCoreInBackground()
	}
	if err == nil && response.LeaseAgeMS != NoLease {
		a.recordRenewal(sent.Add(-time.Duration(response.LeaseAgeMS) * time.Millisecond))
	}
	return err
}

// decompressBody returns the body of a response as it was before Compress.
func decompressBody(response *SyncResponse, body []byte) ([]byte, error) {
	if !response.Compressed {
		return body, nil
	}
	return Decompress(body)
}

// recordRenewal remembers when the latest successful renewal was sent.
func (a *Agent) recordRenewal(sent time.Time) {
	for {
		known := a.leaseRenewedAt.Load()
		if known != nil && !sent.After(*known) || a.leaseRenewedAt.CompareAndSwap(known, &sent) {
			return
		}
	}
}
