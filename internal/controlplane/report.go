package controlplane

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

const (
	// pingTimeout is how long a process that was reported has to answer.
	pingTimeout = 120 * time.Millisecond
	// pingTries: the first may find no more than that a connection from before has ended.
	pingTries = 3
)

// handleReport takes in that a process could not be reached. The primary looks for itself: where nothing listens at
// the address any more, or another process answers, the lease ends at once; a process that says nothing is marked as
// silent until it renews its lease. Many report the same process; those that come when that is known change nothing.
func (p *Plane) handleReport(ctx context.Context, call *rpc.Call) (any, []byte, error) {
	var report cluster.FailureReport
	if err := call.Decode(&report); err != nil {
		return nil, nil, err
	}
	if err := p.member.RequirePrimary(); err != nil {
		return nil, nil, err
	}
	info, live := p.leases.Live(report.Node, time.Now())
	if !live || info.Address != report.Address {
		return nil, nil, nil
	}
	asked := time.Now()
	switch p.look(ctx, info) {
	case processDead:
		if p.leases.Revoke(info, time.Now()) {
			p.logger.Info("process found dead", zap.String("node", info.Name))
		}
	case processSilent:
		p.leases.MarkUnresponsive(info, asked)
	}
	return nil, nil, nil
}

// sighting is what a look at a process shows.
type sighting uint8

const (
	processAlive  sighting = iota
	processDead            // it surely has ended
	processSilent          // nothing is heard of it
)

// look asks a process whether it is there.
func (p *Plane) look(ctx context.Context, info cluster.NodeInfo) sighting {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	client := p.options.Pool.Get(info.Address)
	for range pingTries {
		var answer cluster.PingResponse
		_, err := client.Call(ctx, cluster.MethodPing, struct{}{}, nil, &answer)
		switch {
		case err == nil && answer.Name == info.Name && answer.Incarnation == info.Incarnation:
			return processAlive
		case err == nil:
			return processDead
		case ctx.Err() != nil:
			return processSilent
		case errors.Is(err, syscall.ECONNREFUSED):
			return processDead
		}
	}
	return processAlive
}
