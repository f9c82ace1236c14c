package controlplane

import (
	"context"
	"time"

	"ivyfold/internal/cluster"
	"ivyfold/internal/rpc"
)

// longestSyncWait bounds how long the answer to a sync is held back.
const longestSyncWait = 400 * time.Millisecond

// handleSync renews the caller's lease and answers with what is newer than what it holds, as soon as there is
// something or the time has passed.
func (p *Plane) handleSync(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request cluster.SyncRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if !p.fresh() {
		return nil, nil, unavailable("not in touch with the primary")
	}
	p.leases.renew(request.Node, time.Now())
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, longestSyncWait)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		stateChanged := p.state.changed.next()
		workersChanged := p.workersChangedFor(&request)
		response, body := p.news(&request)
		if packed, pays := p.packBody(&request, response, body); pays {
			response.Packed = true
			body = packed
		}
		if response.hasNews() || wait <= 0 {
			return response.SyncResponse, body, nil
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
	return p.workers.changed.next()
}

// syncNews is an answer to a sync.
type syncNews struct{ cluster.SyncResponse }

func (n *syncNews) hasNews() bool {
	return n.ConfigVersion != 0 || n.Table != nil || len(n.TableChanges) > 0 || n.Workers != nil
}

// addTable adds what is newer than a revision of the table.
func (n *syncNews) addTable(current *content, revision uint64) {
	if current.table.Revision <= revision {
		return
	}
	missing := current.table.Revision - revision
	if revision == 0 || missing > uint64(len(current.changes)) {
		n.Table = current.table
		return
	}
	n.TableChanges = current.changes[uint64(len(current.changes))-missing:]
}

// news collects what is newer than what the caller holds.
func (p *Plane) news(request *cluster.SyncRequest) (*syncNews, []byte) {
	current := p.state.current.Load()
	response := &syncNews{}
	response.Lease = cluster.LeaseDuration.Milliseconds()
	response.addTable(current, request.TableRevision)
	held := &cluster.WorkerList{Epoch: request.WorkersEpoch, Revision: request.WorkersRevision}
	workers, readAt := p.workers.load()
	response.WorkersAgeMS = -1
	if workers != nil {
		response.WorkersAgeMS = time.Since(readAt).Milliseconds()
		response.WorkerCount = len(workers.Workers)
		if request.Node.Store && workers.NewerThan(held) {
			response.Workers = workers
		}
	}
	if current.version() <= request.ConfigVersion {
		return response, nil
	}
	response.ConfigVersion = current.version()
	updates, found := current.updatesSince(request.ConfigVersion)
	if !found {
		return response, current.document.JSON()
	}
	var body []byte
	for _, update := range updates {
		response.ConfigUpdates = append(response.ConfigUpdates, len(update.body))
		body = append(body, update.body...)
	}
	return response, body
}

// updatesSince returns the updates that lead from a version to the current one, and false where they are not known or
// are as long as the configuration.
func (c *content) updatesSince(version uint64) ([]appliedUpdate, bool) {
	size := 0
	for i := len(c.updates) - 1; i >= 0; i-- {
		size += len(c.updates[i].body)
		if size >= len(c.document.JSON()) {
			return nil, false
		}
		if c.updates[i].from == version {
			return c.updates[i:], true
		}
	}
	return nil, false
}
