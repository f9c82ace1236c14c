package replication

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/rpc"
)

// checkTarget refuses a call that is meant for another disk at the same address.
func (g *Group) checkTarget(target string) error {
	if target == g.self.DiskID {
		return nil
	}
	return &rpc.Error{Code: rpc.CodeNotFound, Message: "another disk is here: " + g.self.DiskID}
}

// serveStatus tells whether this process leads.
func (g *Group) serveStatus(context.Context, struct{}, []byte) (any, []byte, error) {
	answer := statusAnswer{DiskID: g.self.DiskID, Epoch: g.witness.record().acceptedEpoch()}
	if l := g.leading.Load(); l != nil {
		answer.Leading = l.leaseRuns(time.Now())
	}
	return answer, nil, nil
}

// serveAttach makes this replica follow the log of an epoch's primary.
func (g *Group) serveAttach(ctx context.Context, request attachRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	promised, err := g.witness.promise(request.Epoch, request.Primary)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	answer := attachAnswer{Promised: g.witness.record().Promised}
	if !promised {
		return answer, nil, nil
	}
	g.giveWay(request.Epoch, request.Primary)
	g.presence.pledge(request.Primary, time.Now().Add(g.timing.RoundTimeout))
	if request.Complete {
		if err := g.replica.install(request.Epoch, body); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	} else if !g.replica.attach(request.Epoch, request.Last) {
		return answer, nil, nil
	}
	if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	answer.Attached = true
	return answer, nil, nil
}

// serveAppend adds records from the primary to the log, and answers when they are durable.
func (g *Group) serveAppend(ctx context.Context, request appendRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	answer := appendAnswer{Promised: record.Promised}
	if !record.allows(request.Epoch, request.Primary) {
		return answer, nil, nil
	}
	entries, err := decodeEntries(body)
	if err != nil {
		return nil, nil, &rpc.Error{Code: rpc.CodeInvalid, Message: err.Error()}
	}
	if err := g.replica.follow(request.Epoch, request.After, entries); err != nil {
		if errors.Is(err, errDetached) {
			return answer, nil, nil
		}
		return nil, nil, trace.Wrap(err)
	}
	if len(entries) > 0 {
		if err := g.replica.syncWithin(ctx, g.timing.RoundTimeout); err != nil {
			return nil, nil, trace.Wrap(err)
		}
	}
	answer.Attached, _ = g.replica.commit(request.Epoch, request.Commit)
	g.compact()
	return answer, nil, nil
}

// serveHeartbeat records that the primary lives and applies what it has committed.
func (g *Group) serveHeartbeat(_ context.Context, request heartbeatRequest, body []byte) (any, []byte, error) {
	if err := g.checkTarget(request.Target); err != nil {
		return nil, nil, err
	}
	record := g.witness.record()
	answer := heartbeatAnswer{Promised: record.Promised, Accepted: record.acceptedEpoch()}
	if !standsBy(record, request) {
		return answer, nil, nil
	}
	answer.Heard = true
	g.giveWay(request.Epoch, request.Primary)
	if request.Leading {
		g.presence.heardFromPrimary(time.Now())
	}
	attached, complete := g.replica.commit(request.Epoch, request.Commit)
	answer.Attached = attached
	// A heartbeat that can't be dated may have been on its way for as long as a cut lasted.
	sentAfter, dated := g.presence.answeredAt(request.Echo)
	if complete && dated && request.Leading {
		g.presence.markCurrent(sentAfter)
	}
	if dated {
		g.takeNews(request, body, sentAfter)
	}
	g.notify()
	answer.Number = g.presence.numberAnswer(time.Now())
	if g.options.ResponsePayload == nil {
		return answer, nil, nil
	}
	return answer, g.options.ResponsePayload(answer.Number), nil
}

// takeNews hands on what a heartbeat carries: the payload, and that an answer of this process has reached a primary that
// led after it.
func (g *Group) takeNews(request heartbeatRequest, body []byte, sentAfter time.Time) {
	if request.Leading && g.options.OnResponseEcho != nil {
		g.options.OnResponseEcho(request.Echo)
	}
	if len(body) > 0 && g.options.OnHeartbeat != nil {
		g.options.OnHeartbeat(body, sentAfter)
	}
}

// standsBy tells whether a witness still takes the sender of a heartbeat for the primary. One that is making its next
// view has been promised a higher epoch than that of its heartbeats.
func standsBy(record *witnessRecord, request heartbeatRequest) bool {
	if request.Epoch < record.acceptedEpoch() {
		return record.Accepted.Primary == request.Primary && record.PromisedTo == request.Primary
	}
	return record.allows(request.Epoch, request.Primary) || record.PromisedTo == request.Primary
}

// giveWay ends this process's leadership where another process leads or stands in a higher epoch.
func (g *Group) giveWay(epoch uint64, primary string) {
	l := g.leading.Load()
	if l != nil && primary != g.self.DiskID && epoch > l.currentView().Epoch {
		g.resign(l, "another process leads")
	}
}

// compact shortens a long log in the background.
func (g *Group) compact() {
	if g.replica.isLong() {
		go g.replica.compact()
	}
}
