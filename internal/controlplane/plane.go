// Package controlplane assembles the control plane of one process on top of a replicated group.
//
// One member of the group, the primary, makes all decisions. Each decision is a change of a replicated state machine.
// Every member that is in touch with the primary renews leases and distributes the state. Each part is a package:
//
//   - controlstate: the replicated state, the records of its log and its snapshots
//   - lease: which processes are alive
//   - placement: which stores hold and lead which partitions, as a pure computation
//   - tablemanager: the loop that proposes the placement's changes of the cluster table to the group
//   - membership: who is a member of the group
//   - bootstrap: the first start of the whole system
//   - operatorapi: the operator's calls
//   - workerlist: the platform's list of workers
//   - updates: the part of this state that a process does not hold yet
//   - replication: the group itself
//
// This package connects the parts. It also handles other processes' calls: syncs, lease renewals, failure reports and
// partition requests. Plane.Run starts a goroutine for the group and one for each loop; the handlers run in goroutines
// of the RPC server. The package has no locks of its own: state that goroutines share is guarded by the locks of the
// parts, is immutable, or is set before Run. Start reading at Plane and Plane.Run, then at handleSync. The decisions
// are made in tablemanager.
package controlplane

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/controlplane/bootstrap"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/operatorapi"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/controlplane/tablemanager"
	"gladepick/internal/controlplane/updates"
	"gladepick/internal/controlplane/workerlist"
	"gladepick/internal/network"
	"gladepick/internal/rpc"
	"gladepick/internal/vfs"
)

// Options configures a Plane.
type Options struct {
	Info    cluster.NodeInfo // of this process
	Network network.Network  // to the platform
	Pool    *rpc.Pool        // to other processes
	Server  *rpc.Server      // New registers the control plane's handlers on it
	FS      vfs.FS           // for the control state; nil without a disk

	Bootstrap           bool // this is the first start of the whole system
	ToleratedLosses     int  // number of lost disks that the system must survive
	ToleratedZoneLosses int  // number of lost zones that the system must survive

	Seeds           []string // control addresses of the seeds, "ip:port"
	InternalPort    int      // port of every process's RPC server
	PlatformAddress string   // serves the platform's list of workers, "ip:port"; may be empty

	Agent  *cluster.Agent // of this process; may be nil
	Logger *zap.Logger    // may be nil
	Seed   uint64         // seeds the random delays before elections
}

// Plane is the control plane of one process. New builds it and Run runs it.
type Plane struct {
	options                Options
	logger                 *zap.Logger
	state                  *controlstate.Machine
	workers                workerlist.Cache
	bootstrapper           *bootstrap.Bootstrapper
	member                 localMember
	changedPlatformAddress atomic.Pointer[string] // overrides Options.PlatformAddress; nil until SetPlatformAddress

	// The following are nil on a process that cannot be a member.

	leases   *lease.Table
	pinger   *pinger
	updates  *updates.Source
	manager  *tablemanager.Manager
	members  *membership.Manager
	reader   *workerlist.Reader
	operator *operatorapi.API

	lifetime context.Context
	cancel   context.CancelFunc
}

// New loads the control state from the disk and registers the RPC handlers. Run starts the loops.
func New(options Options) (*Plane, error) {
	plane, err := newPlane(options)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !plane.canBeMember() {
		return plane, nil
	}
	plane.makeParts()
	opened, err := replication.Open(plane.groupOptions())
	if err != nil {
		return nil, trace.Wrap(err, "opening the control group")
	}
	plane.join(opened)
	return plane, nil
}

// newPlane returns a plane that can only act as a seed: it takes part in the bootstrap but not in the group.
func newPlane(options Options) (*Plane, error) {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	plane := &Plane{options: options, logger: options.Logger, state: controlstate.NewMachine()}
	plane.member.diskID = options.Info.DiskID
	plane.lifetime, plane.cancel = context.WithCancel(context.Background())
	bootstrapper, err := bootstrap.New(bootstrap.Options{
		Self:         options.Info.Address,
		Seeds:        options.Seeds,
		InternalPort: options.InternalPort,
		FirstStart:   options.Bootstrap,
		Group:        &plane.member,
		Agent:        options.Agent,
		Pool:         options.Pool,
		Logger:       options.Logger,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plane.bootstrapper = bootstrapper
	options.Server.Handle(cluster.MethodRegister, bootstrapper.HandleRegister)
	options.Server.Handle(cluster.MethodControlGroup, bootstrapper.HandleControlGroup)
	options.Server.Handle(cluster.MethodAnnounce, bootstrapper.HandleAnnounce)
	if options.Agent != nil {
		options.Agent.AddControlGroupSource(bootstrapper.KnownMembers)
		options.Agent.SetLocalDocuments(plane.document)
	}
	return plane, nil
}

func (p *Plane) canBeMember() bool {
	return p.options.Info.ControlEligible && p.options.FS != nil && p.options.Info.DiskID != ""
}

// makeParts creates the parts that only a possible member of the group needs.
func (p *Plane) makeParts() {
	p.leases = lease.NewTable(func() { p.manager.Wake() })
	p.pinger = newPinger(p.leases, p.options.Pool)
	p.manager = tablemanager.New(tablemanager.Options{
		Group:       &p.member,
		State:       p.state,
		Leases:      p.leases,
		Redundancy:  p.redundancy(),
		Incarnation: p.options.Info.Incarnation,
		Logger:      p.logger,
	})
	p.updates = updates.NewSource(p.state, &p.workers)
	p.members = membership.NewManager(membership.Options{
		Group:           &p.member,
		Leases:          p.leases,
		DiskID:          p.options.Info.DiskID,
		ToleratedLosses: p.options.ToleratedLosses,
		OnChange:        p.manager.Wake,
		Logger:          p.logger,
	})
	p.reader = workerlist.NewReader(p.lifetime, workerlist.ReaderOptions{
		Cache:           &p.workers,
		Network:         p.options.Network,
		Pool:            p.options.Pool,
		PlatformAddress: p.platformAddress,
		Role:            func() replication.Role { return p.member.Role() },
		Self:            p.options.Info.Address,
		Logger:          p.logger,
	})
	p.operator = operatorapi.New(operatorapi.Options{
		Group:           &p.member,
		Leadership:      &p.member,
		Editor:          p.manager,
		State:           p.state,
		ToleratedLosses: p.options.ToleratedLosses,
		Logger:          p.logger,
	})
}

func (p *Plane) groupOptions() replication.Options {
	info := p.options.Info
	return replication.Options{
		Self:                replication.Member{Name: info.Name, Address: info.Address, DiskID: info.DiskID},
		Pool:                p.options.Pool,
		Server:              p.options.Server,
		FS:                  p.options.FS,
		StateMachine:        p.state,
		ReplicationFactor:   p.redundancy().ReplicationFactor,
		AllowBootstrap:      p.options.Bootstrap,
		Logger:              p.logger,
		Seed:                p.options.Seed,
		HeartbeatPayload:    p.reader.HeartbeatPayload,
		OnHeartbeat:         p.reader.OnHeartbeat,
		ResponsePayload:     func(number uint64) []byte { return p.leases.PendingRenewals(number, time.Now()) },
		OnResponseEcho:      p.leases.ConfirmResponse,
		OnHeartbeatResponse: p.onHeartbeatResponse,
	}
}

// join connects the plane to the group and registers the handlers that only members of the group serve.
func (p *Plane) join(group group) {
	p.member.group = group
	group.OnRoleChange(func(replication.Role) {
		p.member.roleChanged.Notify()
		p.manager.Wake()
	})
	server := p.options.Server
	server.Handle(cluster.MethodSync, p.handleSync)
	server.Handle(methodRenew, p.handleRenew)
	server.Handle(cluster.MethodFailureReport, p.handleFailureReport)
	server.Handle(cluster.MethodOperator, p.operator.Handle)
	server.Handle(cluster.MethodPartitionRequest, p.handlePartitionRequest)
	server.Handle(workerlist.MethodWorkers, p.reader.HandleWorkers)
	server.Handle(bootstrap.MethodBootstrap, p.bootstrapper.HandleBootstrap)
}

// Run runs the control plane until the context ends. Each loop has a goroutine. Every process runs the bootstrap. A
// process that may be a member also runs the group, the table manager, the membership manager, the reader of the list
// of workers and the announcements to the seeds.
func (p *Plane) Run(ctx context.Context) {
	defer p.cancel()
	loops := []func(context.Context){p.bootstrapper.Run}
	if p.member.group != nil {
		defer p.member.Close()
		loops = append(loops, p.member.Run, p.manager.Run, p.manageMembers, p.readWorkers, p.bootstrapper.Announce)
	}
	var wait sync.WaitGroup
	for _, loop := range loops {
		wait.Go(func() { loop(ctx) })
	}
	wait.Wait()
}

func (p *Plane) manageMembers(ctx context.Context) {
	p.member.whilePrimary(ctx, membership.Interval, p.members.Begin, p.members.Step)
}

func (p *Plane) readWorkers(ctx context.Context) {
	p.member.whilePrimary(ctx, workerlist.ReadInterval, func() {}, p.reader.Step)
	p.reader.Close()
}

// redundancy returns the redundancy of partitions that survives the configured losses of disks and zones.
func (p *Plane) redundancy() placement.Redundancy {
	return placement.Redundancy{ReplicationFactor: p.options.ToleratedLosses + 1, Zones: p.options.ToleratedZoneLosses + 1}
}

// document returns the current configuration if it has the given version, and nil otherwise.
func (p *Plane) document(version uint64) *configuration.Document {
	document := p.state.Current().Document
	if document == nil || document.Version() != version {
		return nil
	}
	return document
}

// onHeartbeatResponse applies the lease renewals that a backup forwards with its response to a heartbeat.
func (p *Plane) onHeartbeatResponse(_ replication.Member, payload []byte) {
	if len(payload) == 0 {
		return
	}
	if err := p.leases.ApplyRenewals(payload, time.Now()); err != nil {
		p.logger.Warn("failed to apply lease renewals forwarded by a backup", zap.Error(err))
	}
}

// SetPlatformAddress sets the address, "ip:port", from which later reads fetch the platform's list of workers. If it is
// empty, the list is not read.
func (p *Plane) SetPlatformAddress(address string) { p.changedPlatformAddress.Store(&address) }

// platformAddress returns the address that serves the platform's list of workers, or "" if there is none.
func (p *Plane) platformAddress() string {
	if changed := p.changedPlatformAddress.Load(); changed != nil {
		return *changed
	}
	return p.options.PlatformAddress
}
