// Package bootstrap makes the control group at the first start of the whole system, and finds it at every later start.
//
// Every process registers with the seeds. The first seed waits until no new process registers, chooses the members,
// spread over the zones, and tells one of them to make the group. Where the first seed does not answer, a later one
// acts in its place. From then on the members announce themselves to the seeds again and again, since a seed without a
// disk knows nothing after a restart.
//
// A Bootstrapper owns the registrations, behind one mutex. It runs two loops, each in a goroutine of the caller: Run at
// every process, and Announce at those that may be members. Its handlers are called concurrently. Making the group twice is
// harmless: a process that already knows a group answers with its members and makes none. Start reading at
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

// MethodBootstrap is the name of the call that tells a process to make the control group of the given members. It is
// served by processes that may be members, and may be repeated.
const MethodBootstrap = "cluster.found"

const (
	checkInterval           = 200 * time.Millisecond
	startDelay              = 1200 * time.Millisecond // after the start of the first seed
	registrationQuietPeriod = 600 * time.Millisecond  // without a new registration
	otherSeedDelay          = 4 * time.Second         // after which another seed acts, if those before it do not answer
	seedProbeTimeout        = 300 * time.Millisecond
	bootstrapTimeout        = 2 * time.Second
	attemptsPerMember       = 10 // before another member is told to make the group
	announceInterval        = 2 * time.Second
)

// Group is what a Bootstrapper needs of this process's part in the control group.
type Group interface {
	// Members lists the members as this process remembers them; none where it cannot be a member.
	Members() []cluster.CoreMember
	// UpToDate tells whether this process is a member whose knowledge of the group may be passed on.
	UpToDate() bool
	// Bootstrap makes the group. It is called only at processes that may be members.
	Bootstrap(ctx context.Context, members []replication.Member) error
}

// Options holds what a Bootstrapper works with.
type Options struct {
	Self         string   // this process's internal address, "ip:port"
	Seeds        []string // control addresses, "ip:port"
	InternalPort int      // of every process
	FirstStart   bool     // this is the first start of the whole system
	Group        Group
	Agent        *cluster.Agent // of this process; may be nil
	Pool         *rpc.Pool
	Logger       *zap.Logger
}

// bootstrapRequest tells a process to make the control group of the given members.
type bootstrapRequest struct {
	Members []replication.Member `json:"members"`
}

// Bootstrapper is a process's part in the first start of the whole system.
type Bootstrapper struct {
	options Options
	seeds   []string // internal addresses
	started time.Time

	mutex      sync.Mutex
	registered map[string]cluster.NodeInfo // by name
	lastNew    time.Time                   // when a process last registered for the first time since its start
	members    []cluster.CoreMember        // of the group, as chosen here or as another process named them
}

// New returns a bootstrapper. It fails where a seed's address is wrong.
func New(options Options) (*Bootstrapper, error) {
	made := &Bootstrapper{options: options, registered: map[string]cluster.NodeInfo{}}
	for _, seed := range options.Seeds {
		address, err := cluster.InternalAddress(seed, options.InternalPort)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		made.seeds = append(made.seeds, address)
	}
	return made, nil
}

// HandleRegister serves cluster.MethodRegister: it keeps the registration of a process and answers with the members of
// the group, if they are known.
func (b *Bootstrapper) HandleRegister(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var info cluster.NodeInfo
	if err := call.Decode(&info); err != nil {
		return nil, nil, err
	}
	core := b.core()
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

// HandleCore serves cluster.MethodCore: it answers with the members of the group, if they are known.
func (b *Bootstrapper) HandleCore(context.Context, *rpc.Call) (any, []byte, error) {
	return b.response(b.core()), nil, nil
}

func (b *Bootstrapper) response(core []cluster.CoreMember) cluster.CoreResponse {
	return cluster.CoreResponse{Core: core, Bootstrap: b.options.FirstStart}
}

// core returns the members of the group as this process knows them.
func (b *Bootstrapper) core() []cluster.CoreMember {
	if agent := b.options.Agent; agent != nil {
		return agent.Core()
	}
	return b.KnownMembers()
}

// KnownMembers returns the members that this process's disk or another process has named.
func (b *Bootstrapper) KnownMembers() []cluster.CoreMember {
	if core := b.options.Group.Members(); len(core) > 0 {
		return core
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.members
}

// HandleAnnounce serves cluster.MethodAnnounce: it remembers the members of the group. After a restart a process without
// a disk knows nothing else.
func (b *Bootstrapper) HandleAnnounce(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var announced cluster.CoreResponse
	if err := call.Decode(&announced); err != nil {
		return nil, nil, err
	}
	if len(announced.Core) > 0 {
		b.setMembers(announced.Core)
	}
	return nil, nil, nil
}

// HandleBootstrap serves MethodBootstrap.
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

// Announce tells the seeds every few seconds who the members are, where this process is one, until the context ends.
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
		isMember := slices.ContainsFunc(core, func(member cluster.CoreMember) bool { return member.Address == seed })
		if isMember {
			continue
		}
		wait.Go(func() {
			announced := cluster.CoreResponse{Core: core}
			_, _ = b.options.Pool.Get(seed).Call(ctx, cluster.MethodAnnounce, announced, nil, nil)
		})
	}
	wait.Wait()
}

// Run leads the bootstrap where this process is a seed and nobody else does, until the group is known. At any other
// process, and at any later start of the system, it returns at once.
func (b *Bootstrapper) Run(ctx context.Context) {
	rank := slices.Index(b.seeds, b.options.Self)
	if !b.options.FirstStart || rank < 0 {
		return
	}
	b.started = time.Now()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for attempts := 0; len(b.core()) == 0; {
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

// registrationsQuiet tells whether nobody new has registered for a while.
func (b *Bootstrapper) registrationsQuiet() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := time.Now()
	return now.Sub(b.started) >= startDelay && now.Sub(b.lastNew) >= registrationQuietPeriod
}

// leads tells whether a seed of the given rank is to act: the first always, another late and only while none before it
// answers. One that has been restarted since leads no bootstrap any more.
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
		if otherLeads || len(b.core()) > 0 {
			return false
		}
	}
	return true
}

// fetchMembers asks a process for the members of the group and remembers them.
func (b *Bootstrapper) fetchMembers(ctx context.Context, address string) (cluster.CoreResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, seedProbeTimeout)
	defer cancel()
	var response cluster.CoreResponse
	_, err := b.options.Pool.Get(address).Call(ctx, cluster.MethodCore, struct{}{}, nil, &response)
	if err == nil && len(response.Core) > 0 {
		b.setMembers(response.Core)
	}
	return response, trace.Wrap(err)
}

func (b *Bootstrapper) setMembers(core []cluster.CoreMember) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.members = core
}

// bootstrapGroup chooses the members and tells one of them to make the group: the first by name, or a later one where the
// ones before did not manage it.
func (b *Bootstrapper) bootstrapGroup(ctx context.Context, rank int) {
	members := chooseMembers(b.candidates())
	if len(members) == 0 {
		return
	}
	for _, member := range members {
		if response, err := b.fetchMembers(ctx, member.Address); err == nil && len(response.Core) > 0 {
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
	b.setMembers(membership.CoreMembers(members))
}

// candidates returns the registered processes that may be members, in no order.
func (b *Bootstrapper) candidates() []cluster.NodeInfo {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	candidates := make([]cluster.NodeInfo, 0, len(b.registered))
	for _, info := range b.registered {
		if info.Core && info.DiskID != "" && !info.Draining {
			candidates = append(candidates, info)
		}
	}
	return candidates
}
