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

// LeaseDuration is how long a lease runs after the request that renewed it was sent.
const LeaseDuration = 1200 * time.Millisecond

// AgentOptions holds what an Agent needs.
type AgentOptions struct {
	Info         func() NodeInfo // what the process announces; asked for with every renewal
	Pool         *rpc.Pool
	Server       *rpc.Server // gets the handlers that every process serves; may be nil
	Seeds        []string    // control addresses of the seeds, "ip:port"
	InternalPort int         // port of the internal RPC server on every machine
	Disk         vfs.FS      // where the members of the control group are remembered; may be nil
	Register     bool        // announce the process at the seeds until the control group is known (first start only)
	Logger       *zap.Logger
}

// Agent finds the control group, keeps the lease of its process running, and holds current snapshots of the
// configuration, the cluster table and the list of workers. No snapshot ever goes back to an older one.
type Agent struct {
	options AgentOptions
	logger  *zap.Logger
	config  atomic.Pointer[configuration.Document]
	table   atomic.Pointer[Table]
	workers atomic.Pointer[WorkerList]
	member  atomic.Pointer[string]    // address of the member that served last
	renewed atomic.Pointer[time.Time] // when the last successful renewal was sent
	count   atomic.Int64              // entries of the list of workers
	read    atomic.Pointer[time.Time] // when the list of workers was last read from the platform

	patience atomic.Int64 // how long the answer to a sync may take, in nanoseconds

	mutex       sync.Mutex
	seeds       []string // internal addresses
	subscribers []func()
	sources     []func() []CoreMember
	documents   func(version uint64) *configuration.Document
	learned     []CoreMember // members that a seed has named
	primaryHint string       // address of the control group's primary, as last heard
	apply       sync.Mutex   // serialises changes of the snapshots
	saving      sync.Mutex   // held while members are being saved
	saved       []CoreMember // members that the disk holds, as saved in this run; guarded by saving
}

// NewAgent makes an agent. Run starts it.
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
		agent.learned = loadCore(options.Disk)
	}
	if options.Server != nil {
		options.Server.Handle(MethodPing, agent.handlePing)
		options.Server.Handle(MethodCore, agent.handleCore)
	}
	return agent, nil
}

// Config returns the configuration in force, or nil before the first one is known.
func (a *Agent) Config() *configuration.Document { return a.config.Load() }

// Table returns the cluster table, or nil before it is known.
func (a *Agent) Table() *Table { return a.table.Load() }

// Workers returns the list of workers, or nil before it is known.
func (a *Agent) Workers() *WorkerList { return a.workers.Load() }

// WorkerCount returns how many entries the list of workers has. A process that is no store knows only their number.
func (a *Agent) WorkerCount() int { return int(a.count.Load()) }

// WorkersReadAt returns about when the control plane last read the list of workers; the zero time if never.
func (a *Agent) WorkersReadAt() time.Time { return loadTime(&a.read) }

// LeaseValid tells whether the lease of this process surely still runs.
func (a *Agent) LeaseValid() bool { return a.LeaseRemaining() > 0 }

// LeaseRemaining returns for how long the lease of this process surely still runs; 0 where it does not.
func (a *Agent) LeaseRemaining() time.Duration {
	renewed := loadTime(&a.renewed)
	if renewed.IsZero() {
		return 0
	}
	return max(0, LeaseDuration-time.Since(renewed))
}

// UpToDate tells whether the snapshots were confirmed as current within the duration of a lease.
func (a *Agent) UpToDate() bool { return a.LeaseValid() }

// Subscribe has a function called after each change of a snapshot, from the agent's goroutine. It must not block.
func (a *Agent) Subscribe(changed func()) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.subscribers = append(a.subscribers, changed)
}

// AddCoreSource adds a function that names members of the control group this process knows by itself, such as those
// that a member remembers on its disk.
func (a *Agent) AddCoreSource(source func() []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sources = append(a.sources, source)
}

// SetLocalDocuments sets a function that returns a configuration which this process has already read, or nil. It
// spares reading it twice.
func (a *Agent) SetLocalDocuments(documents func(version uint64) *configuration.Document) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.documents = documents
}

func (a *Agent) localDocument(version uint64) *configuration.Document {
	a.mutex.Lock()
	documents := a.documents
	a.mutex.Unlock()
	if documents == nil {
		return nil
	}
	return documents(version)
}

// Core returns the members of the control group as this process knows them.
func (a *Agent) Core() []CoreMember {
	if table := a.table.Load(); table != nil && len(table.Core) > 0 {
		return table.Core
	}
	a.mutex.Lock()
	learned, sources := a.learned, a.sources
	a.mutex.Unlock()
	for _, source := range sources {
		if core := source(); len(core) > 0 {
			return core
		}
	}
	return learned
}

func (a *Agent) handlePing(context.Context, *rpc.Call) (any, []byte, error) {
	info := a.options.Info()
	return PingResponse{Name: info.Name, Incarnation: info.Incarnation}, nil, nil
}

func (a *Agent) handleCore(context.Context, *rpc.Call) (any, []byte, error) {
	return CoreResponse{Core: a.Core()}, nil, nil
}

func (a *Agent) notify() {
	a.mutex.Lock()
	subscribers := a.subscribers
	a.mutex.Unlock()
	for _, changed := range subscribers {
		changed()
	}
}

func loadTime(pointer *atomic.Pointer[time.Time]) time.Time {
	if value := pointer.Load(); value != nil {
		return *value
	}
	return time.Time{}
}
