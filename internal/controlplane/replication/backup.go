package replication

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/rpc"
)

// serveAttach promises an epoch to its primary and makes this replica follow the primary's log. It responds when the
// log, or the snapshot that replaces it, is durable.
func (g *Group) serveAttach(ctx context.Context, request attachRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	promised, err := g.witness.promise(request.Epoch, request.Primary)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response := attachResponse{Promised: g.witness.record().Promised}
	if !promised {
		return response, nil, nil
	}
	g.resignIfSuperseded(request.Epoch, request.Primary)
	g.monitor.reserveVote(request.Primary, time.Now().Add(g.timing.RoundTimeout))
	if request.HasSnapshot {
		if err := g.replica.installSnapshot(request.Epoch, body); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	} else if !g.replica.attach(request.Epoch, request.Last) {
		return response, nil, nil
	}
	if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	response.Attached = true
	return response, nil, nil
}

// serveAppend appends records from the primary to the log, and responds when they are durable.
func (g *Group) serveAppend(ctx context.Context, request appendRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	response := appendResponse{Promised: record.Promised}
	if !record.allows(request.Epoch, request.Primary) {
		return response, nil, nil
	}
	entries, err := decodeEntries(body)
	if err != nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: err.Error()}
	}
	if err := g.replica.appendFromPrimary(request.Epoch, request.After, entries); err != nil {
		if errors.Is(err, errNotAttached) {
			return response, nil, nil
		}
		return nil, nil, trace.Wrap(err)
	}
	if len(entries) > 0 {
		if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	response.Attached, _ = g.replica.commit(request.Epoch, request.Commit)
	g.compact()
	return response, nil, nil
}

// serveHeartbeat renews this witness's support for the primary, and applies what the primary has committed.
func (g *Group) serveHeartbeat(_ context.Context, request heartbeatRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	response := heartbeatResponse{Promised: record.Promised, Accepted: record.acceptedEpoch()}
	if !supportsPrimary(record, request) {
		return response, nil, nil
	}
	response.Supported = true
	g.resignIfSuperseded(request.Epoch, request.Primary)
	if request.Leading {
		g.monitor.recordContact(time.Now())
	}
	attached, complete := g.replica.commit(request.Epoch, request.Commit)
	response.Attached = attached
	// A heartbeat without a known echo may have been delayed for as long as a network partition lasted.
	sentAfter, echoKnown := g.monitor.respondedAt(request.Echo)
	if complete && echoKnown && request.Leading {
		g.monitor.markUpToDate(sentAfter)
	}
	if echoKnown {
		g.deliverPayloads(request, body, sentAfter)
	}
	g.notify()
	response.Number = g.monitor.nextResponseNumber(time.Now())
	if g.options.ResponsePayload == nil {
		return response, nil, nil
	}
	return response, g.options.ResponsePayload(response.Number), nil
}

// deliverPayloads calls OnHeartbeat with a heartbeat's payload. If the primary's lease is valid, it also calls
// OnResponseEcho: the primary has received the echoed response and has led after it was sent.
func (g *Group) deliverPayloads(request heartbeatRequest, body []byte, sentAfter time.Time) {
	if request.Leading && g.options.OnResponseEcho != nil {
		g.options.OnResponseEcho(request.Echo)
	}
	if len(body) > 0 && g.options.OnHeartbeat != nil {
		g.options.OnHeartbeat(body, sentAfter)
	}
}

// supportsPrimary reports whether a witness still supports the sender of a heartbeat as the primary. During a view
// change, the epoch that is promised to the primary is higher than that of its heartbeats.
func supportsPrimary(record *witnessRecord, request heartbeatRequest) bool {
	if request.Epoch < record.acceptedEpoch() {
		return record.Accepted.Primary == request.Primary && record.PromisedTo == request.Primary
	}
	return record.allows(request.Epoch, request.Primary) || record.PromisedTo == request.Primary
}

// resignIfSuperseded ends this process's leadership if another process leads, or is a candidate, in a higher epoch.
func (g *Group) resignIfSuperseded(epoch uint64, primary string) {
	l := g.leadership.Load()
	if l != nil && primary != g.self.DiskID && epoch > l.currentView().Epoch {
		g.resign(l, "another process leads")
	}
}
