package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/rpc"
)

// handleFailureReport serves cluster.MethodFailureReport, which reports that a process could not be reached. The
// primary pings the reported process. If nothing listens at its address any more, or another process answers, its lease
// ends at once. If it does not answer, it is marked as unresponsive until it renews its lease. Several callers may
// report the same process; a report that adds nothing new changes nothing.
func (p *Plane) handleFailureReport(ctx context.Context, call *rpc.Call) (any, []byte, error) {
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
	ping := p.pinger.ping(ctx, info)
	switch ping.result {
	case pingDead:
		if p.leases.Revoke(info, time.Now()) {
			p.logger.Info("process found dead, lease revoked", zap.String("node", info.Name))
		}
	case pingUnanswered:
		p.leases.MarkUnresponsive(info, ping.started)
	}
	return nil, nil, nil
}
