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

// MethodWorkers is the RPC by which a backup fetches the list from the primary. The argument is the
// cluster.WorkerVersion that the backup holds.
const MethodWorkers = "control.workers"

// listResponse is the response to MethodWorkers. It holds the changes from the caller's version to the newest list of
// workers if they are known, and otherwise the complete list.
type listResponse struct {
	Changes []cluster.WorkerChange `json:"changes,omitempty"`
	List    *cluster.WorkerList    `json:"list,omitempty"`
}

// announcement is the payload of the primary's heartbeats: the version and the age of its list of workers.
type announcement struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"ageMs"`
	Address  string `json:"address"` // of the primary, which serves MethodWorkers
}

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	Cache   *Cache
	Network network.Network // to the platform
	Pool    *rpc.Pool       // to the other members
	// PlatformAddress returns the address that serves the platform's list, "ip:port", or "" if there is none. The result
	// may change between calls.
	PlatformAddress func() string
	// Role returns the role of this process in the control group.
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

// NewReader returns a reader. Its fetches end when the lifetime context ends.
func NewReader(lifetime context.Context, options ReaderOptions) *Reader {
	return &Reader{
		options:  options,
		client:   NewPlatformClient(options.Network),
		fetching: syncutil.NewSemaphore(),
		lifetime: lifetime,
	}
}

// NewPlatformClient returns an HTTP client for the platform's API.
func NewPlatformClient(network network.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			// The transport may continue a dial after the request that started it has ended, so the dial needs its own
			// time-out.
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
		r.options.Logger.Debug("failed to read the list of workers", zap.Error(err))
		return
	}
	if after := r.options.Role(); after.Primary {
		r.options.Cache.RecordRead(before.Epoch, workers, time.Now())
	}
}

// Close closes the idle connections to the platform.
func (r *Reader) Close() { r.client.CloseIdleConnections() }

// HeartbeatPayload returns the announcement that the primary sends with each heartbeat, or nil if there is no list yet.
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

// OnHeartbeat starts a fetch of the list if the primary announces a newer one. The heartbeat was sent after sentAfter,
// so the computed time of the read is never later than the actual one.
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

// fetch fetches the list from the primary and stores it. readAt is when the primary read the announced list.
func (r *Reader) fetch(address string, readAt time.Time) {
	defer r.fetching.Release()
	ctx, cancel := context.WithTimeout(r.lifetime, fetchTimeout)
	defer cancel()
	known, _ := r.options.Cache.Load()
	var response listResponse
	_, err := r.options.Pool.Get(address).Call(ctx, MethodWorkers, known.Version(), nil, &response)
	if err != nil {
		r.options.Logger.Debug("failed to fetch the list of workers from the primary", zap.Error(trace.Wrap(err)))
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

// HandleWorkers serves MethodWorkers.
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
