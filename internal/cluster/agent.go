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

// LeaseDuration is how long a lease is valid, counted from the sending of the request that renewed it.
const LeaseDuration = 1200 * time.Millisecond

// AgentOptions configure an Agent. Info and Pool are required.
type AgentOptions struct {
	Info         func() NodeInfo // returns the identity that the process announces; called for every renewal
	Pool         *rpc.Pool
	Server       *rpc.Server // the agent registers its handlers of MethodPing and MethodControlGroup there; may be nil
	Seeds        []string    // control addresses of the seeds, "ip:port"
	InternalPort int         // port of the internal RPC server on every machine
	Disk         vfs.FS      // stores the members of the control group; may be nil
	Register     bool        // on the first start: register the process at the seeds until the control group is known
	Logger       *zap.Logger
}

// Agent finds the control group, renews the lease of its process, and holds the newest snapshots of the configuration,
// the cluster table and the list of workers. It never replaces a snapshot by an older one. Its methods are safe for
// concurrent use; reading a snapshot takes no lock.
type Agent struct {
	options        AgentOptions
	logger         *zap.Logger
	config         atomic.Pointer[configuration.Document]
	table          atomic.Pointer[Table]
	workers        atomic.Pointer[WorkerList]
	servingMember  atomic.Pointer[string]    // address of the member that served the last sync
	leaseRenewedAt atomic.Pointer[time.Time] // when the last successful renewal was sent
	workerCount    atomic.Int64              // number of entries of the list of workers
	workersReadAt  atomic.Pointer[time.Time] // approximately when the control plane last read the list of workers

	responseTimeout atomic.Int64 // time limit of a sync's response in addition to its wait, in nanoseconds

	mutex           sync.Mutex
	seeds           []string // internal RPC addresses
	subscribers     []func()
	memberSources   []func() []ControlMember
	localDocuments  func(version uint64) *configuration.Document
	learnedMembers  []ControlMember // members loaded from the disk, or named by a seed
	primaryHint     string          // address of the member that last responded as the primary
	applyMutex      sync.Mutex      // held while a response is applied to the snapshots
	memberSaveMutex sync.Mutex      // held while the members are saved
	savedMembers    []ControlMember // members that this process last saved; guarded by memberSaveMutex
}

// NewAgent returns an agent, which does nothing until Run. It returns an error if a seed is not an address with a port.
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
		agent.learnedMembers = loadMembers(options.Disk)
	}
	if options.Server != nil {
		options.Server.Handle(MethodPing, agent.handlePing)
		options.Server.Handle(MethodControlGroup, agent.handleControlGroup)
	}
	return agent, nil
}

// LeaseValid reports whether the lease of this process is certainly still valid.
func (a *Agent) LeaseValid() bool { return a.LeaseRemaining() > 0 }

// LeaseRemaining returns how long the lease of this process is certainly still valid, or 0 if it may have expired.
func (a *Agent) LeaseRemaining() time.Duration {
	renewed := loadTime(&a.leaseRenewedAt)
	if renewed.IsZero() {
		return 0
	}
	return max(0, LeaseDuration-time.Since(renewed))
}

// Subscribe registers a function that the agent calls after each change of a snapshot, in the goroutine that syncs. The
// function must not block.
func (a *Agent) Subscribe(changed func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.subscribers = append(a.subscribers, changed)
}

func (a *Agent) notify() {
	a.mutex.Lock()
	subscribers := a.subscribers
	a.mutex.Unlock()
	for _, changed := range subscribers {
		changed()
	}
}

// handlePing responds with the name and the incarnation of this process.
func (a *Agent) handlePing(context.Context, *rpc.Call) (any, []byte, error) {
	info := a.options.Info()
	return PingResponse{Name: info.Name, Incarnation: info.Incarnation}, nil, nil
}

// handleControlGroup responds with the members of the control group, as far as this process knows them.
func (a *Agent) handleControlGroup(context.Context, *rpc.Call) (any, []byte, error) {
	return ControlGroupInfo{Members: a.ControlGroup()}, nil, nil
}
