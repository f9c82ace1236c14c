package controlplane

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/syncutil"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
)

const (
	workerReadInterval = 500 * time.Millisecond
	workerReadTimeout  = 2 * time.Second
	workerFetchTimeout = time.Second
	idleConnections    = 5 * time.Second

	methodWorkers = "control.workers" // cluster.WorkerVersion -> workersAnswer, at the primary
)

// workersAnswer leads from the version that the caller holds to the newest list of workers: by changes where they are
// known, else as a whole.
type workersAnswer struct {
	Changes []cluster.WorkerChange `json:"changes,omitempty"`
	List    *cluster.WorkerList    `json:"list,omitempty"`
}

// workerNews is what the primary tells its backups of the list of workers with each heartbeat.
type workerNews struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"ageMs"`
	Address  string `json:"address"` // where the list can be fetched
}

// workerCache holds the newest list of workers that this member knows.
type workerCache struct {
	mutex   sync.Mutex
	list    *cluster.WorkerList
	history workerHistory
	readAt  time.Time
	changed syncutil.Notifier
}

// load returns the list, which may be nil, and when it was last read from the platform.
func (c *workerCache) load() (*cluster.WorkerList, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.list, c.readAt
}

// since returns the changes that lead from a version to the newest list, and false where they are not known.
func (c *workerCache) since(version cluster.WorkerVersion) ([]cluster.WorkerChange, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.history.since(version)
}

// replace puts a newer list in the place of the one held. The caller holds the lock.
func (c *workerCache) replace(next *cluster.WorkerList) {
	c.history.add(c.list, next)
	c.list = next
}

// noteRead takes in what the platform's list held. It gets a new revision only where something has changed that
// matters for a choice between workers.
func (c *workerCache) noteRead(epoch uint64, workers []cluster.Worker, now time.Time) {
	c.mutex.Lock()
	c.readAt = now
	known := c.list
	if known != nil && known.Epoch == epoch && slices.EqualFunc(known.Workers, workers, sameWorker) {
		c.mutex.Unlock()
		return
	}
	next := &cluster.WorkerList{Epoch: epoch, Revision: 1, Workers: workers, ReadAt: now}
	if known != nil && known.Epoch == epoch {
		next.Revision = known.Revision + 1
	}
	c.replace(next)
	c.mutex.Unlock()
	c.changed.Notify()
}

// sameWorker compares two entries apart from the time that is left for warming up.
func sameWorker(a, b cluster.Worker) bool {
	a.WarmupLeft, b.WarmupLeft = 0, 0
	return a == b
}

// store takes over a list that the primary has read.
func (c *workerCache) store(list *cluster.WorkerList, readAt time.Time) {
	c.mutex.Lock()
	if !list.NewerThan(c.list) {
		c.mutex.Unlock()
		return
	}
	list.ReadAt = readAt
	c.replace(list)
	c.readAt = readAt
	c.mutex.Unlock()
	c.changed.Notify()
}

// confirm notes that the list was read again and found unchanged. It returns false where the list here is older.
func (c *workerCache) confirm(news *workerNews, readAt time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offered := cluster.WorkerVersion{Epoch: news.Epoch, Revision: news.Revision}
	if c.list == nil || c.list.Version() != offered {
		return c.list != nil && !offered.NewerThan(c.list.Version())
	}
	if readAt.After(c.readAt) {
		c.readAt = readAt
	}
	return true
}

// workerReader reads the platform's list while its process is the primary, and passes it on to the backups.
type workerReader struct {
	plane    *Plane
	client   *http.Client
	fetching syncutil.Semaphore
}

func newWorkerReader(plane *Plane) *workerReader {
	return &workerReader{plane: plane, client: NewPlatformClient(plane.options.Network), fetching: syncutil.NewSemaphore()}
}

// NewPlatformClient returns an HTTP client for the platform's interface.
func NewPlatformClient(network network.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// A dial outlives the call for which it was begun.
			ctx, cancel := context.WithTimeout(ctx, workerReadTimeout)
			defer cancel()
			return network.Dial(ctx, address)
		},
		DisableCompression: true,
		IdleConnTimeout:    idleConnections,
	}}
}

func (r *workerReader) run(ctx context.Context) {
	r.plane.whilePrimary(ctx, workerReadInterval, func() {}, r.step)
	r.client.CloseIdleConnections()
}

func (r *workerReader) step(ctx context.Context) {
	address := r.plane.cloudAddress()
	if address == "" {
		return
	}
	before := r.plane.group.Role()
	ctx, cancel := context.WithTimeout(ctx, workerReadTimeout)
	defer cancel()
	workers, err := ReadWorkers(ctx, r.client, address)
	if err != nil {
		r.plane.logger.Debug("list of workers not read", zap.Error(err))
		return
	}
	if after := r.plane.group.Role(); after.Primary {
		r.plane.workers.noteRead(before.Epoch, workers, time.Now())
	}
}

// heartbeatPayload is what the primary tells its backups with each heartbeat.
func (r *workerReader) heartbeatPayload() []byte {
	list, readAt := r.plane.workers.load()
	if list == nil {
		return nil
	}
	payload, err := json.Marshal(workerNews{
		Epoch:    list.Epoch,
		Revision: list.Revision,
		AgeMS:    time.Since(readAt).Milliseconds(),
		Address:  r.plane.options.Info.Address,
	})
	if err != nil {
		return nil
	}
	return payload
}

// onHeartbeat fetches the list where the primary has a newer one. The heartbeat was sent after the given moment.
func (r *workerReader) onHeartbeat(payload []byte, sentAfter time.Time) {
	if len(payload) == 0 {
		return
	}
	var news workerNews
	if err := json.Unmarshal(payload, &news); err != nil {
		return
	}
	readAt := sentAfter.Add(-time.Duration(news.AgeMS) * time.Millisecond)
	if r.plane.workers.confirm(&news, readAt) {
		return
	}
	if r.fetching.TryAcquire() {
		go r.fetch(news.Address, readAt)
	}
}

func (r *workerReader) fetch(address string, readAt time.Time) {
	defer r.fetching.Release()
	ctx, cancel := context.WithTimeout(r.plane.lifetime, workerFetchTimeout)
	defer cancel()
	held, _ := r.plane.workers.load()
	var answer workersAnswer
	_, err := r.plane.options.Pool.Get(address).Call(ctx, methodWorkers, held.Version(), nil, &answer)
	if err != nil {
		r.plane.logger.Debug("list of workers not fetched", zap.Error(trace.Wrap(err)))
		return
	}
	list := answer.List
	if list == nil {
		list, _ = held.ApplyAll(answer.Changes)
	}
	if list != nil {
		r.plane.workers.store(list, readAt)
	}
}

// handleWorkers gives the list to another member.
func (r *workerReader) handleWorkers(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var held cluster.WorkerVersion
	if err := call.Decode(&held); err != nil {
		return nil, nil, err
	}
	if changes, known := r.plane.workers.since(held); known {
		return workersAnswer{Changes: changes}, nil, nil
	}
	list, _ := r.plane.workers.load()
	if list == nil {
		return nil, nil, unavailable("no list of workers yet")
	}
	return workersAnswer{List: list}, nil, nil
}
