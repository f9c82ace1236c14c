package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/ctxtime"
)

const (
	syncWait     = 400 * time.Millisecond // how long a member may hold back its answer
	syncTimeout  = 350 * time.Millisecond // how long an answer may take beyond that
	unleasedWait = 100 * time.Millisecond // the same while no lease runs: it begins when the primary knows of a renewal
	roundPause   = 100 * time.Millisecond // after every known member has failed
	// A large configuration takes a while to pass: while no member serves, answers get more and more time.
	longestSyncTimeout = 4 * time.Second
	// After so long with a member that is not the preferred one, the preferred one is tried again.
	preferenceInterval = 10 * time.Second
)

// Run keeps the lease and the snapshots current until the context ends.
func (a *Agent) Run(ctx context.Context) {
	failed := "" // the member that served last and then did not answer
	a.patience.Store(int64(syncTimeout))
	for ctx.Err() == nil {
		a.discover(ctx)
		served, reason := a.syncRound(ctx, failed)
		if ctx.Err() != nil {
			return
		}
		if served == "" {
			failed = ""
			a.patience.Store(min(2*a.patience.Load(), int64(longestSyncTimeout)))
			a.askSeeds(ctx)
			ctxtime.Sleep(ctx, roundPause)
			continue
		}
		failed = ""
		if reason != nil {
			failed = served
		}
	}
}

// syncRound tries each known member in turn and stays with the first that serves, for as long as it does. It returns
// that member and why it was left: an error, or nil where another member is to be preferred. The member to avoid comes
// last.
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

// syncWith syncs with one member until that fails or another one is to be preferred, and tells whether it served.
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
			wait = unleasedWait
		}
		a.patience.Store(int64(syncTimeout))
		a.member.Store(&address)
		if time.Since(begin) > preferenceInterval {
			begin = time.Now()
			if candidates := a.candidates(); len(candidates) > 0 && candidates[0] != address {
				return true, nil
			}
		}
	}
	return served, ctx.Err()
}

// Renew announces the process at once, as after a change of what it announces. It is no more than an extra sync.
func (a *Agent) Renew(ctx context.Context) error {
	member := a.member.Load()
	if member == nil {
		return trace.ConnectionProblem(nil, "no member of the control group has served yet")
	}
	return a.sync(ctx, *member, 0)
}

// sync renews the lease at a member and takes over what is newer there.
func (a *Agent) sync(ctx context.Context, address string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+time.Duration(a.patience.Load()))
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

// accept takes over an answer. The lease counts from the sending of this request or of an earlier one.
func (a *Agent) accept(request *SyncRequest, response *SyncResponse, body []byte, sent time.Time) error {
	body, err := unpackIfPacked(response, body)
	if err != nil {
		return err
	}
	// The lease is taken up after the snapshots have been passed on: who acts by it acts by the newest table.
	a.apply.Lock()
	defer a.apply.Unlock()
	changed, err := a.acceptConfig(request, response, body)
	changed = a.acceptTable(response.Table) || changed
	changed = a.acceptTableChanges(response.TableChanges) || changed
	changed = a.acceptWorkers(response.Workers) || changed
	changed = a.acceptWorkerChanges(response.WorkerChanges) || changed
	if response.WorkersAgeMS >= 0 {
		read := time.Now().Add(-time.Duration(response.WorkersAgeMS) * time.Millisecond)
		a.read.Store(&read)
		a.count.Store(int64(response.WorkerCount))
	}
	if changed {
		a.notify()
		a.rememberCore()
	}
	if err == nil && response.LeaseAgeMS != NoLease {
		a.noteRenewal(sent.Add(-time.Duration(response.LeaseAgeMS) * time.Millisecond))
	}
	return err
}

// unpackIfPacked returns an answer's body as it was before it was compressed.
func unpackIfPacked(response *SyncResponse, body []byte) ([]byte, error) {
	if !response.Compressed {
		return body, nil
	}
	return Decompress(body)
}

// rememberCore keeps the members of the control group on the disk whenever they have changed. A disk that hangs holds
// up nothing else.
func (a *Agent) rememberCore() {
	if a.options.Disk == nil || !a.saving.TryLock() {
		return
	}
	if !a.unsavedCore() {
		a.saving.Unlock()
		return
	}
	go func() {
		defer a.saving.Unlock()
		for a.unsavedCore() {
			core := a.table.Load().Core
			if err := saveCore(a.options.Disk, core); err != nil {
				a.logger.Warn("members of the control group not saved", zap.Error(err))
				return
			}
			a.saved = core
		}
	}()
}

// unsavedCore tells whether the members differ from those that the disk holds. The caller holds the lock for saving.
func (a *Agent) unsavedCore() bool {
	table := a.table.Load()
	return table != nil && len(table.Core) > 0 && !slices.Equal(a.saved, table.Core)
}

// noteRenewal remembers the latest sending of a renewal that succeeded.
func (a *Agent) noteRenewal(sent time.Time) {
	for {
		known := a.renewed.Load()
		if known != nil && !sent.After(*known) || a.renewed.CompareAndSwap(known, &sent) {
			return
		}
	}
}

func (a *Agent) acceptConfig(request *SyncRequest, response *SyncResponse, body []byte) (bool, error) {
	current := a.config.Load()
	if response.ConfigVersion == 0 || current != nil && current.Version() >= response.ConfigVersion {
		return false, nil
	}
	document, err := a.readConfig(current, request, response, body)
	if err != nil {
		return false, trace.Wrap(err, "reading configuration %d", response.ConfigVersion)
	}
	a.config.Store(document)
	return true, nil
}

func (a *Agent) readConfig(
	current *configuration.Document, request *SyncRequest, response *SyncResponse, body []byte,
) (*configuration.Document, error) {
	if document := a.localDocument(response.ConfigVersion); document != nil {
		return document, nil
	}
	if len(response.ConfigUpdates) == 0 {
		return configuration.ParseAfter(current, body)
	}
	if current == nil || current.Version() != request.ConfigVersion {
		return nil, trace.CompareFailed("updates do not start at the configuration held here")
	}
	document := current
	for _, length := range response.ConfigUpdates {
		if length < 0 || length > len(body) {
			return nil, trace.BadParameter("update is longer than the body")
		}
		next, err := document.Update(body[:length])
		if err != nil {
			return nil, err
		}
		document, body = next, body[length:]
	}
	return document, nil
}

func (a *Agent) acceptTable(table *Table) bool {
	if table == nil {
		return false
	}
	if current := a.table.Load(); current != nil && current.Revision >= table.Revision {
		return false
	}
	a.table.Store(table)
	return true
}

// acceptTableChanges applies the changes that the table here lacks.
func (a *Agent) acceptTableChanges(changes []TableChange) bool {
	before := a.table.Load()
	if before == nil {
		return false
	}
	table := before
	for i := range changes {
		table, _ = table.Apply(&changes[i])
	}
	a.table.Store(table)
	return table != before
}

func (a *Agent) acceptWorkers(workers *WorkerList) bool {
	if workers == nil || !workers.NewerThan(a.workers.Load()) {
		return false
	}
	workers.ReadAt = time.Now()
	a.workers.Store(workers)
	return true
}

// acceptWorkerChanges applies changes that start at the list held here.
func (a *Agent) acceptWorkerChanges(changes []WorkerChange) bool {
	if len(changes) == 0 {
		return false
	}
	workers, applied := a.workers.Load().ApplyAll(changes)
	return applied && a.acceptWorkers(workers)
}
