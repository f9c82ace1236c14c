package cluster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/configuration"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
)

// LeaseDuration is how long a lease is valid after the request that renewed it was sent.
const LeaseDuration = 1200 * time.Millisecond

// AgentOptions configure an Agent. Info and Pool are required.
type AgentOptions struct {
	Info         func() NodeInfo // returns what the process announces; called for every renewal
	Pool         *rpc.Pool
	Server       *rpc.Server // the agent registers the handlers that every process serves there; may be nil
	Seeds        []string    // control addresses of the seeds, "ip:port"
	InternalPort int         // port of the internal RPC server on every machine
	Disk         vfs.FS      // where the members of the control group are stored; may be nil
	Register     bool        // announces the process at the seeds until the control group is known, for the first start
	Logger       *zap.Logger
}

// Agent finds the control group, renews the lease of its process, and holds the newest snapshots of the
// configuration, the cluster table and the list of workers. No snapshot is ever replaced by an older one. Its
// methods are safe for concurrent use; reading a snapshot takes no lock.
type Agent struct {
	options        AgentOptions
	logger         *zap.Logger
	config         atomic.Pointer[configuration.Document]
	table          atomic.Pointer[Table]
	workers        atomic.Pointer[WorkerList]
	servingMember  atomic.Pointer[string]    // address of the member that served last
	leaseRenewedAt atomic.Pointer[time.Time] // when the last successful renewal was sent
	workerCount    atomic.Int64              // number of entries of the list of workers
	workersReadAt  atomic.Pointer[time.Time] // when the list of workers was last read from the platform

	responseTimeout atomic.Int64 // how long the response to a sync may take beyond its wait, in nanoseconds

	mutex          sync.Mutex
	seeds          []string // internal RPC addresses
	subscribers    []func()
	coreSources    []func() []CoreMember
	localDocuments func(version uint64) *configuration.Document
	learnedCore    []CoreMember // members that a seed has named
	primaryHint    string       // address of the member that last answered as the primary
	applying       sync.Mutex   // held while a response is applied to the snapshots
	coreSaving     sync.Mutex   // held while the members are saved
	savedCore      []CoreMember // members that this process has saved; guarded by coreSaving
}

// NewAgent returns an agent, which Run starts. It fails where a seed is not an address with a port.
func NewAgent(options AgentOptions) (*Agent, error) {
	agent := &Agent{options: options, logger: options.Logger}
	if agent.logger == nil {
		agent.logger = zap.NewNop()
	}
	seeds, err := internalAddresses(options.Seeds, options.InternalPort)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	agent.seeds = seeds
	if options.Disk != nil {
		agent.learnedCore = loadCore(options.Disk)
	}
	if options.Server != nil {
		options.Server.Handle(MethodPing, agent.handlePing)
		options.Server.Handle(MethodCore, agent.handleCore)
	}
	return agent, nil
}

// LeaseValid reports whether the lease of this process surely is still valid.
func (a *Agent) LeaseValid() bool { return a.LeaseRemaining() > 0 }

// LeaseRemaining returns for how long the lease of this process surely is still valid; 0 where it is not.
func (a *Agent) LeaseRemaining() time.Duration {
	renewed := loadTime(&a.leaseRenewedAt)
	if renewed.IsZero() {
		return 0
	}
	return max(0, LeaseDuration-time.Since(renewed))
}

// Subscribe registers a function that is called after each change of a snapshot, by the goroutine that syncs. It
// must not block.
func (a *Agent) Subscribe(changed func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.subscribers = append(a.subscribers, changed)
}

// notify calls the subscribers.
func (a *Agent) notify() {
	a.mutex.Lock()
	subscribers := a.subscribers
	a.mutex.Unlock()
	for _, changed := range subscribers {
		changed()
	}
}

// handlePing responds with the identity of this process.
func (a *Agent) handlePing(context.Context, *rpc.Call) (any, []byte, error) {
	info := a.options.Info()
	return PingResponse{Name: info.Name, Incarnation: info.Incarnation}, nil, nil
}

// handleCore responds with the members of the control group that this process knows.
func (a *Agent) handleCore(context.Context, *rpc.Call) (any, []byte, error) {
	return CoreResponse{Core: a.Core()}, nil, nil
}
