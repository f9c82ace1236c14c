// Package bootstrap creates the control group at the first start of the whole system, and finds it at every later
// start.
//
// Every process registers with the seeds. The first seed waits until no new process registers, chooses members that are
// spread over the zones, and tells one of them to create the group. If the first seed does not answer, a later one acts
// in its place. From then on the members announce themselves to the seeds periodically, because a seed without a disk
// knows nothing after a restart.
//
// A Bootstrapper owns the registrations and guards them with one mutex. It runs two loops, each in a goroutine of the
// caller: Run at every process, and Announce at those that may be members. Its handlers are called concurrently. A
// repeated request to create the group is harmless: a process that already knows a group creates none. Start reading at
// Bootstrapper.Run.
package bootstrap

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/rpc"
)

// MethodBootstrap is the RPC that tells a process to create the control group with the given members. Processes that
// may be members serve it. It may be repeated.
const MethodBootstrap = "cluster.found"

const (
	checkInterval           = 200 * time.Millisecond
	startDelay              = 1200 * time.Millisecond // from the start of a seed to its first attempt
	registrationQuietPeriod = 600 * time.Millisecond  // without a new registration
	otherSeedDelay          = 4 * time.Second         // after which a later seed acts if no earlier seed responds
	seedProbeTimeout        = 300 * time.Millisecond
	bootstrapTimeout        = 2 * time.Second
	attemptsPerMember       = 10 // before another member is told to create the group
	announceInterval        = 2 * time.Second
)

// Group is the part of the control group's API that a Bootstrapper uses.
type Group interface {
	// Members returns the members that this process last knew, or none if it cannot be a member.
	Members() []cluster.ControlMember
	// UpToDate reports whether this process is a member whose list of members may be served to other processes.
	UpToDate() bool
	// Bootstrap creates the group. It is called only at processes that may be members.
	Bootstrap(ctx context.Context, members []replication.Member) error
}

// Options configures a Bootstrapper.
type Options struct {
	Self         string   // this process's internal address, "ip:port"
	Seeds        []string // control addresses, "ip:port"
	InternalPort int      // port of every process's RPC server
	FirstStart   bool     // this is the first start of the whole system
	Group        Group
	Agent        *cluster.Agent // of this process; may be nil
	Pool         *rpc.Pool
	Logger       *zap.Logger
}

// bootstrapRequest is the argument of MethodBootstrap.
type bootstrapRequest struct {
	Members []replication.Member `json:"members"`
}

// Bootstrapper creates the control group at the first start, and tells other processes who its members are.
type Bootstrapper struct {
	options Options
	seeds   []string // internal addresses
	started time.Time

	mutex      sync.Mutex
	registered map[string]cluster.NodeInfo // by name
	lastNew    time.Time                   // when an incarnation last registered for the first time
	members    []cluster.ControlMember     // of the group, as chosen here or as reported by another process
}

// New returns a bootstrapper. It fails if a seed's address is invalid.
func New(options Options) (*Bootstrapper, error) {
	bootstrapper := &Bootstrapper{options: options, registered: map[string]cluster.NodeInfo{}}
	for _, seed := range options.Seeds {
		address, err := cluster.InternalAddress(seed, options.InternalPort)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		bootstrapper.seeds = append(bootstrapper.seeds, address)
	}
	return bootstrapper, nil
}

// HandleRegister serves cluster.MethodRegister. It responds with the members of the group if they are known. While they
// are not, it keeps the caller's registration at the first start of the system.
func (b *Bootstrapper) HandleRegister(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var info cluster.NodeInfo
	if err := call.Decode(&info); err != nil {
		return nil, nil, err
	}
	core := b.controlGroup()
	if len(core) == 0 && b.options.FirstStart {
		b.register(info)
	}
	return b.response(core), nil, nil
}

func (b *Bootstrapper) register(info cluster.NodeInfo) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, found := b.registered[info.Name]
	if !found || known.Incarnation != info.Incarnation {
		b.lastNew = time.Now()
	}
	b.registered[info.Name] = info
}

// HandleControlGroup serves cluster.MethodControlGroup: it responds with the members of the group if they are known.
func (b *Bootstrapper) HandleControlGroup(context.Context, *rpc.Call) (any, []byte, error) {
	return b.response(b.controlGroup()), nil, nil
}

func (b *Bootstrapper) response(core []cluster.ControlMember) cluster.ControlGroupInfo {
	return cluster.ControlGroupInfo{Members: core, Bootstrap: b.options.FirstStart}
}

// controlGroup returns the members of the group as the agent knows them, or KnownMembers if there is no agent.
func (b *Bootstrapper) controlGroup() []cluster.ControlMember {
	if agent := b.options.Agent; agent != nil {
		return agent.ControlGroup()
	}
	return b.KnownMembers()
}

// KnownMembers returns the members from this process's replica of the control state or, if it has none, those that
// another process reported.
func (b *Bootstrapper) KnownMembers() []cluster.ControlMember {
	if core := b.options.Group.Members(); len(core) > 0 {
		return core
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.members
}

// HandleAnnounce serves cluster.MethodAnnounce: it stores the announced members of the group. After a restart, a
// process without a disk has no other source of them.
func (b *Bootstrapper) HandleAnnounce(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var announced cluster.ControlGroupInfo
	if err := call.Decode(&announced); err != nil {
		return nil, nil, err
	}
	if len(announced.Members) > 0 {
		b.setMembers(announced.Members)
	}
	return nil, nil, nil
}

// HandleBootstrap serves MethodBootstrap. If this process already knows a group, it changes nothing and succeeds.
func (b *Bootstrapper) HandleBootstrap(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request bootstrapRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if !b.options.FirstStart {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "this is not the first start"}
	}
	if len(b.options.Group.Members()) > 0 {
		return nil, nil, nil
	}
	return nil, nil, trace.Wrap(b.options.Group.Bootstrap(ctx, request.Members))
}

// Announce sends the list of members to the seeds every announceInterval while this process is an up-to-date member. It
// returns when the context ends.
func (b *Bootstrapper) Announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if b.options.Group.UpToDate() {
			b.announceOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Bootstrapper) announceOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedProbeTimeout)
	defer cancel()
	core := b.options.Group.Members()
	var wait sync.WaitGroup
	for _, seed := range b.seeds {
		isMember := slices.ContainsFunc(core, func(member cluster.ControlMember) bool { return member.Address == seed })
		if isMember {
			continue
		}
		wait.Go(func() {
			announced := cluster.ControlGroupInfo{Members: core}
			_, _ = b.options.Pool.Get(seed).Call(ctx, cluster.MethodAnnounce, announced, nil, nil)
		})
	}
	wait.Wait()
}

// Run leads the bootstrap until the group is known, if this process is a seed and no earlier seed leads it. At any
// other process, and at any later start of the system, it returns at once.
func (b *Bootstrapper) Run(ctx context.Context) {
	rank := slices.Index(b.seeds, b.options.Self)
	if !b.options.FirstStart || rank < 0 {
		return
	}
	b.started = time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for attempts := 0; len(b.controlGroup()) == 0; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !b.registrationsQuiet() || !b.leads(ctx, rank) {
			continue
		}
		b.bootstrapGroup(ctx, attempts/attemptsPerMember)
		attempts++
	}
}

// registrationsQuiet reports whether startDelay has passed and no new process has registered for
// registrationQuietPeriod.
func (b *Bootstrapper) registrationsQuiet() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	return now.Sub(b.started) >= startDelay && now.Sub(b.lastNew) >= registrationQuietPeriod
}

// leads reports whether the seed of the given rank leads the bootstrap. The first seed always does. A later seed leads
// only after otherSeedDelay, and only if no earlier seed responds that it takes part in the first start. An earlier
// seed that has restarted responds that it does not take part, and no longer leads.
func (b *Bootstrapper) leads(ctx context.Context, rank int) bool {
	if rank == 0 {
		return true
	}
	if time.Since(b.started) < otherSeedDelay {
		return false
	}
	for _, seed := range b.seeds[:rank] {
		response, err := b.fetchMembers(ctx, seed)
		otherLeads := err == nil && response.Bootstrap
		if otherLeads || len(b.controlGroup()) > 0 {
			return false
		}
	}
	return true
}

// fetchMembers asks a process for the members of the group and stores them if the process knows any.
func (b *Bootstrapper) fetchMembers(ctx context.Context, address string) (cluster.ControlGroupInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, seedProbeTimeout)
	defer cancel()
	var response cluster.ControlGroupInfo
	_, err := b.options.Pool.Get(address).Call(ctx, cluster.MethodControlGroup, struct{}{}, nil, &response)
	if err == nil && len(response.Members) > 0 {
		b.setMembers(response.Members)
	}
	return response, trace.Wrap(err)
}

func (b *Bootstrapper) setMembers(core []cluster.ControlMember) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.members = core
}

// bootstrapGroup chooses the members and tells one of them to create the group, unless a member already knows one. The
// rank selects the member in the order of names: it grows when earlier members have failed.
func (b *Bootstrapper) bootstrapGroup(ctx context.Context, rank int) {
	members := chooseMembers(b.candidates())
	if len(members) == 0 {
		return
	}
	for _, member := range members {
		if response, err := b.fetchMembers(ctx, member.Address); err == nil && len(response.Members) > 0 {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	address := members[rank%len(members)].Address
	request := bootstrapRequest{Members: members}
	if _, err := b.options.Pool.Get(address).Call(ctx, MethodBootstrap, request, nil, nil); err != nil {
		b.options.Logger.Info("bootstrap of the control group failed", zap.Error(err))
		return
	}
	b.options.Logger.Info("control group bootstrapped", zap.Int("members", len(members)))
	b.setMembers(membership.ControlMembers(members))
}

// candidates returns the registered processes that may be members, in no particular order.
func (b *Bootstrapper) candidates() []cluster.NodeInfo {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates := make([]cluster.NodeInfo, 0, len(b.registered))
	for _, info := range b.registered {
		if info.ControlEligible && info.DiskID != "" && !info.Draining {
			candidates = append(candidates, info)
		}
	}
	return candidates
}
