package cluster

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"gladepick/internal/ctxtime"
)

const (
	seedTimeout  = 400 * time.Millisecond // for one question to a seed
	seedInterval = 200 * time.Millisecond // between two rounds of questions while no member is known
)

// discover asks all seeds at once for the members of the control group until some are known or the context ends.
func (a *Agent) discover(ctx context.Context) {
	for ctx.Err() == nil && len(a.Core()) == 0 {
		if !a.askSeeds(ctx) {
			ctxtime.Sleep(ctx, seedInterval)
		}
	}
}

// askSeeds asks every seed once, and tells whether one named the control group. The first that does ends the round.
func (a *Agent) askSeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var wait sync.WaitGroup
	seeds := a.seedAddresses()
	answers := make([][]CoreMember, len(seeds))
	for i, seed := range seeds {
		wait.Go(func() {
			answers[i] = a.askSeed(ctx, seed)
			if len(answers[i]) > 0 {
				cancel()
			}
		})
	}
	wait.Wait()
	for _, core := range answers {
		if len(core) > 0 {
			a.learn(core)
			return true
		}
	}
	return false
}

func (a *Agent) askSeed(ctx context.Context, seed string) []CoreMember {
	var answer CoreResponse
	method, params := MethodCore, any(struct{}{})
	if a.options.Register {
		method, params = MethodRegister, a.options.Info()
	}
	if _, err := a.options.Pool.Get(seed).Call(ctx, method, params, nil, &answer); err != nil {
		return nil
	}
	return answer.Core
}

func (a *Agent) learn(core []CoreMember) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.learned = core
}

// candidates returns the addresses of all members that may answer a sync, the preferred one first: the process itself,
// then members in its own zone, then the others. Processes of one zone are spread over its members by their names.
func (a *Agent) candidates() []string {
	info := a.options.Info()
	members := slices.Clone(a.Core())
	a.mutex.Lock()
	members = append(members, a.learned...)
	a.mutex.Unlock()
	rank := func(member CoreMember) int {
		switch {
		case member.Address == info.Address:
			return 0
		case member.Zone != "" && member.Zone == info.Zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(members, func(left, right CoreMember) int {
		if difference := rank(left) - rank(right); difference != 0 {
			return difference
		}
		return int(spread(info.Name, left.Address)) - int(spread(info.Name, right.Address))
	})
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// spread is a small hash by which processes choose different members.
func spread(node, address string) uint16 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	sum := hash.Sum32()
	return uint16(sum) ^ uint16(sum>>16)
}
