package controlplane

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/membership"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/rpc"
)

const (
	foundingInterval = 200 * time.Millisecond
	foundingDelay    = 1200 * time.Millisecond // after the start of the first seed
	foundingRest     = 600 * time.Millisecond  // without a new registration
	otherSeedDelay   = 4 * time.Second         // after which another seed acts, if those before it do not answer
	seedProbeTimeout = 300 * time.Millisecond
	foundTimeout     = 2 * time.Second
	foundTriesEach   = 10 // before another member is told to found
	announceInterval = 2 * time.Second

	methodFound = "cluster.found" // foundRequest -> empty, at a process that may be a member
)

// foundRequest tells a process to found the control group with the given members.
type foundRequest struct {
	Members []replication.Member `json:"members"`
}

// founding is a process's part in the first start of the whole system. Every process registers with the seeds. The
// first seed waits until the registrations have come to rest, chooses the members, and tells one to found the group.
type founding struct {
	plane   *Plane
	seeds   []string // internal addresses
	started time.Time

	mutex      sync.Mutex
	registered map[string]cluster.NodeInfo
	lastNew    time.Time
	founded    []cluster.CoreMember // the members chosen here, once the group has been founded
}

func newFounding(plane *Plane) (*founding, error) {
	founding := &founding{plane: plane, registered: map[string]cluster.NodeInfo{}}
	for _, seed := range plane.options.Seeds {
		address, err := cluster.InternalAddress(seed, plane.options.InternalPort)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		founding.seeds = append(founding.seeds, address)
	}
	return founding, nil
}

// handleRegister keeps the registration of a process and answers with the members of the group, if they are known.
func (f *founding) handleRegister(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var info cluster.NodeInfo
	if err := call.Decode(&info); err != nil {
		return nil, nil, err
	}
	core := f.core()
	if len(core) == 0 && f.plane.options.Bootstrap {
		f.register(info)
	}
	return f.answer(core), nil, nil
}

func (f *founding) register(info cluster.NodeInfo) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, found := f.registered[info.Name]
	if !found || known.Incarnation != info.Incarnation {
		f.lastNew = time.Now()
	}
	f.registered[info.Name] = info
}

func (f *founding) handleCore(context.Context, *rpc.Call) (any, []byte, error) {
	return f.answer(f.core()), nil, nil
}

func (f *founding) answer(core []cluster.CoreMember) cluster.CoreResponse {
	return cluster.CoreResponse{Core: core, Bootstrap: f.plane.options.Bootstrap}
}

// core returns the members of the group as this process knows them.
func (f *founding) core() []cluster.CoreMember {
	if agent := f.plane.options.Agent; agent != nil {
		return agent.Core()
	}
	return f.knownCore()
}

// knownCore returns the members that this process's disk or another process has named.
func (f *founding) knownCore() []cluster.CoreMember {
	if core := f.plane.member.Members(); len(core) > 0 {
		return core
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.founded
}

// handleAnnounce remembers the members of the group. After a restart a process without a disk knows nothing else.
func (f *founding) handleAnnounce(_ context.Context, call *rpc.Call) (any, []byte, error) {
	var announced cluster.CoreResponse
	if err := call.Decode(&announced); err != nil {
		return nil, nil, err
	}
	if len(announced.Core) > 0 {
		f.setFounded(announced.Core)
	}
	return nil, nil, nil
}

// announce tells the seeds again and again who the members are, where this process is one.
func (f *founding) announce(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		if _, fresh := f.plane.member.freshRole(); fresh {
			f.announceOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *founding) announceOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedProbeTimeout)
	defer cancel()
	core := f.plane.member.Members()
	var wait sync.WaitGroup
	for _, seed := range f.seeds {
		isMember := slices.ContainsFunc(core, func(member cluster.CoreMember) bool { return member.Address == seed })
		if isMember {
			continue
		}
		wait.Go(func() {
			announced := cluster.CoreResponse{Core: core}
			_, _ = f.plane.options.Pool.Get(seed).Call(ctx, cluster.MethodAnnounce, announced, nil, nil)
		})
	}
	wait.Wait()
}

// run leads the founding where this process is a seed and nobody else does, until the group is known.
func (f *founding) run(ctx context.Context) {
	rank := slices.Index(f.seeds, f.plane.options.Info.Address)
	if !f.plane.options.Bootstrap || rank < 0 {
		return
	}
	f.started = time.Now()
	ticker := time.NewTicker(foundingInterval)
	defer ticker.Stop()
	for tries := 0; len(f.core()) == 0; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !f.rested() || !f.actsAs(ctx, rank) {
			continue
		}
		f.found(ctx, tries/foundTriesEach)
		tries++
	}
}

// rested tells whether nobody new has registered for a while.
func (f *founding) rested() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	return now.Sub(f.started) >= foundingDelay && now.Sub(f.lastNew) >= foundingRest
}

// actsAs tells whether a seed of the given rank is to act: the first always, another late and only while none before
// it answers. One that has been restarted since leads no founding any more.
func (f *founding) actsAs(ctx context.Context, rank int) bool {
	if rank == 0 {
		return true
	}
	if time.Since(f.started) < otherSeedDelay {
		return false
	}
	for _, seed := range f.seeds[:rank] {
		answer, err := f.ask(ctx, seed)
		leads := err == nil && answer.Bootstrap
		if leads || len(f.core()) > 0 {
			return false
		}
	}
	return true
}

// ask asks a process for the members of the group and remembers them.
func (f *founding) ask(ctx context.Context, address string) (cluster.CoreResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, seedProbeTimeout)
	defer cancel()
	var answer cluster.CoreResponse
	_, err := f.plane.options.Pool.Get(address).Call(ctx, cluster.MethodCore, struct{}{}, nil, &answer)
	if err == nil && len(answer.Core) > 0 {
		f.setFounded(answer.Core)
	}
	return answer, trace.Wrap(err)
}

func (f *founding) setFounded(core []cluster.CoreMember) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.founded = core
}

// found chooses the members and tells one of them to found the group: the first by name, or a later one where the
// ones before did not manage it.
func (f *founding) found(ctx context.Context, founder int) {
	members := f.choose()
	if len(members) == 0 {
		return
	}
	for _, member := range members {
		if answer, err := f.ask(ctx, member.Address); err == nil && len(answer.Core) > 0 {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, foundTimeout)
	defer cancel()
	address := members[founder%len(members)].Address
	request := foundRequest{Members: members}
	if _, err := f.plane.options.Pool.Get(address).Call(ctx, methodFound, request, nil, nil); err != nil {
		f.plane.logger.Info("founding failed", zap.Error(err))
		return
	}
	f.plane.logger.Info("control group founded", zap.Int("members", len(members)))
	f.setFounded(coreEntries(members))
}

// choose returns the members of the group to be founded, by name.
func (f *founding) choose() []replication.Member {
	f.mutex.Lock()
	candidates := make([]cluster.NodeInfo, 0, len(f.registered))
	for _, info := range f.registered {
		if info.Core && info.DiskID != "" && !info.Draining {
			candidates = append(candidates, info)
		}
	}
	f.mutex.Unlock()
	return chooseMembers(candidates)
}

// chooseMembers picks as many candidates as a group may have, spread over the zones.
func chooseMembers(candidates []cluster.NodeInfo) []replication.Member {
	slices.SortFunc(candidates, func(a, b cluster.NodeInfo) int { return strings.Compare(a.Name, b.Name) })
	chosen := placement.InterleaveZones(candidates, func(info cluster.NodeInfo) string { return info.Zone })
	chosen = chosen[:min(len(chosen), membership.MaxMembers)]
	members := make([]replication.Member, 0, len(chosen))
	for _, info := range chosen {
		members = append(members, replication.Member{Name: info.Name, Address: info.Address, DiskID: info.DiskID})
	}
	slices.SortFunc(members, func(a, b replication.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// handleFound founds the group with the given members. It may be repeated.
func (f *founding) handleFound(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var request foundRequest
	if err := call.Decode(&request); err != nil {
		return nil, nil, err
	}
	if !f.plane.options.Bootstrap {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: "this is not the first start"}
	}
	if len(f.plane.member.Members()) > 0 {
		return nil, nil, nil
	}
	return nil, nil, trace.Wrap(f.plane.member.Bootstrap(ctx, request.Members))
}
