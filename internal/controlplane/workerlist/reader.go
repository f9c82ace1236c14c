package workerlist

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/syncutil"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
)

// ReadInterval is the pause between two reads of the platform's list at the primary.
const ReadInterval = 500 * time.Millisecond

const (
	readTimeout     = 2 * time.Second
	fetchTimeout    = time.Second
	idleConnections = 5 * time.Second
)

// Method is the name of the call by which a backup fetches the list from the primary. The argument is the
// cluster.WorkerVersion that the backup holds.
const Method = "control.workers"

// listResponse leads from the version that the caller holds to the newest list of workers: by changes where they are
// known, else as the complete list.
type listResponse struct {
	Changes []cluster.WorkerChange `json:"changes,omitempty"`
	List    *cluster.WorkerList    `json:"list,omitempty"`
}

// announcement is what the primary tells its backups of the list of workers with each heartbeat.
type announcement struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"ageMs"`
	Address  string `json:"address"` // where the list can be fetched
}

// ReaderOptions holds what a Reader works with.
type ReaderOptions struct {
	Cache   *Cache
	Network network.Network // to the platform
	Pool    *rpc.Pool       // to the other members
	// PlatformAddress returns where the platform's list is, "ip:port", or nothing. It may change.
	PlatformAddress func() string
	// Role returns the part that this process plays in the control group.
	Role   func() replication.Role
	Self   string // this process's internal address, "ip:port"
	Logger *zap.Logger
}

// Reader reads the platform's list while its process is the primary, and copies it from the primary while it is not.
type Reader struct {
	options  ReaderOptions
	client   *http.Client
	fetching syncutil.Semaphore // one fetch at a time
	// lifetime bounds the fetches, which heartbeats start and do not wait for.
	lifetime context.Context
}

// NewReader returns a reader. Its fetches end with the context.
func NewReader(lifetime context.Context, options ReaderOptions) *Reader {
	return &Reader{
		options:  options,
		client:   NewPlatformClient(options.Network),
		fetching: syncutil.NewSemaphore(),
		lifetime: lifetime,
	}
}

// NewPlatformClient returns an HTTP client for the platform's interface.
func NewPlatformClient(network network.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// A dial outlives the call for which it was begun.
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			return network.Dial(ctx, address)
		},
		DisableCompression: true,
		IdleConnTimeout:    idleConnections,
	}}
}

// Step reads the platform's list once. The primary calls it every ReadInterval.
func (r *Reader) Step(ctx context.Context) {
	address := r.options.PlatformAddress()
	if address == "" {
		return
	}
	before := r.options.Role()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	workers, err := Read(ctx, r.client, address)
	if err != nil {
		r.options.Logger.Debug("list of workers not read", zap.Error(err))
		return
	}
	if after := r.options.Role(); after.Primary {
		r.options.Cache.RecordRead(before.Epoch, workers, time.Now())
	}
}

// Close closes the idle connections to the platform.
func (r *Reader) Close() { r.client.CloseIdleConnections() }

// HeartbeatPayload is what the primary tells its backups with each heartbeat.
func (r *Reader) HeartbeatPayload() []byte {
	list, readAt := r.options.Cache.Load()
	if list == nil {
		return nil
	}
	payload, err := json.Marshal(announcement{
		Epoch:    list.Epoch,
		Revision: list.Revision,
		AgeMS:    time.Since(readAt).Milliseconds(),
		Address:  r.options.Self,
	})
	if err != nil {
		return nil
	}
	return payload
}

// OnHeartbeat fetches the list where the primary has a newer one. The heartbeat was sent after the given moment.
func (r *Reader) OnHeartbeat(payload []byte, sentAfter time.Time) {
	if len(payload) == 0 {
		return
	}
	var announced announcement
	if err := json.Unmarshal(payload, &announced); err != nil {
		return
	}
	readAt := sentAfter.Add(-time.Duration(announced.AgeMS) * time.Millisecond)
	if r.options.Cache.confirmUnchanged(&announced, readAt) {
		return
	}
	if r.fetching.TryAcquire() {
		go r.fetch(announced.Address, readAt)
	}
}

func (r *Reader) fetch(address string, readAt time.Time) {
	defer r.fetching.Release()
	ctx, cancel := context.WithTimeout(r.lifetime, fetchTimeout)
	defer cancel()
	known, _ := r.options.Cache.Load()
	var response listResponse
	_, err := r.options.Pool.Get(address).Call(ctx, Method, known.Version(), nil, &response)
	if err != nil {
		r.options.Logger.Debug("list of workers not fetched", zap.Error(trace.Wrap(err)))
		return
	}
	list := response.List
	if list == nil {
		list, _ = known.ApplyAll(response.Changes)
	}
	if list != nil {
		r.options.Cache.Adopt(list, readAt)
	}
}

// HandleWorkers serves Method: it gives the list to another member.
func (r *Reader) HandleWorkers(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var known cluster.WorkerVersion
	if err := call.Decode(&known); err != nil {
		return nil, nil, err
	}
	if changes, found := r.options.Cache.ChangesSince(known); found {
		return listResponse{Changes: changes}, nil, nil
	}
	list, _ := r.options.Cache.Load()
	if list == nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeUnavailable, Message: "no list of workers yet"}
	}
	return listResponse{List: list}, nil, nil
}
