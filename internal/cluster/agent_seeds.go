package cluster

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

const (
	seedTimeout  = 400 * time.Millisecond // for one round of requests to all seeds
	seedInterval = 200 * time.Millisecond // between two rounds while no member is known
)

// SetSeeds replaces the seeds, given as control addresses. If any of them is not an address with a port, the agent
// keeps its seeds and the error names all invalid ones.
func (a *Agent) SetSeeds(seeds []string) error {
	addresses, err := internalAddresses(seeds, a.options.InternalPort)
	if err != nil {
		return trace.Wrap(err)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = addresses
	return nil
}

// seedAddresses returns the internal RPC addresses of the seeds. The caller must not modify the slice.
func (a *Agent) seedAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.seeds
}

// internalAddresses returns the internal RPC addresses of seeds, or an error that names all seeds that are not
// addresses with a port.
func internalAddresses(seeds []string, internalPort int) ([]string, error) {
	var invalid []error
	addresses := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		address, err := InternalAddress(seed, internalPort)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		addresses = append(addresses, address)
	}
	if len(invalid) > 0 {
		return nil, trace.NewAggregate(invalid...)
	}
	return addresses, nil
}

// InternalAddress returns the address of the internal RPC server of the machine with the given control address. The
// internal port is the same on all machines.
func InternalAddress(controlAddress string, internalPort int) (string, error) {
	host, _, err := net.SplitHostPort(controlAddress)
	if err != nil {
		return "", trace.BadParameter("seed %q is not an address with a port", controlAddress)
	}
	return net.JoinHostPort(host, strconv.Itoa(internalPort)), nil
}

// discover queries all seeds for the members of the control group until some are known or the context ends.
func (a *Agent) discover(ctx context.Context) {
	for ctx.Err() == nil && len(a.ControlGroup()) == 0 {
		if !a.querySeeds(ctx) {
			ctxtime.Sleep(ctx, seedInterval)
		}
	}
}

// querySeeds queries every seed once, concurrently, and reports whether one of them named the control group. The first
// seed that does so ends the round.
func (a *Agent) querySeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var wait sync.WaitGroup
	seeds := a.seedAddresses()
	responses := make([][]ControlMember, len(seeds))
	for i, seed := range seeds {
		wait.Go(func() {
			responses[i] = a.querySeed(ctx, seed)
			if len(responses[i]) > 0 {
				cancel()
			}
		})
	}
	wait.Wait()
	for _, members := range responses {
		if len(members) > 0 {
			a.learnMembers(members)
			return true
		}
	}
	return false
}

// querySeed returns the members that a seed names. It returns none if the call fails.
func (a *Agent) querySeed(ctx context.Context, seed string) []ControlMember {
	var response ControlGroupInfo
	method, params := MethodControlGroup, any(struct{}{})
	if a.options.Register {
		method, params = MethodRegister, a.options.Info()
	}
	if _, err := a.options.Pool.Get(seed).Call(ctx, method, params, nil, &response); err != nil {
		return nil
	}
	return response.Members
}
