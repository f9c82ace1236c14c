package client

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/ctxtime"
	"gladepick/internal/message"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/rpc"
)

const (
	putTimeout      = time.Second // of one call, and of a put whose caller has no deadline
	retryInterval   = 25 * time.Millisecond
	unsentTimeout   = 300 * time.Millisecond // of a put while the message was sent to no store
	responseReserve = 60 * time.Millisecond  // part of the caller's time that is left for the answer to the caller

	// giveUpFraction is the fraction of the caller's time after which a put fails if the message was sent to no store,
	// or to a store that responds to no call. This leaves the caller time for a retry. A store that responds to other
	// calls is most likely waiting for a backup, which is replaced soon; then the put waits for as long as its caller
	// does.
	giveUpFraction = 0.45
)

// placement is the partition and the ID under which a message is to be stored.
type placement struct {
	partition    int
	id           string
	sent         bool // the message may have reached a store under this ID
	unresponsive bool // the store has not responded to any call since the message was sent
}

// Put stores a message and returns its ID, which contains the partition. An ordered message with an order key goes to
// the partition of its key. An error that wraps message.ErrNotStored guarantees that the message is not stored and will
// never run; after any other error it may be stored. If a store rejects the message as invalid, Put returns the store's
// error.
func (c *Client) Put(
	ctx context.Context, submission message.Submission, ordered bool, body []byte,
) (string, error) {
	ordered = ordered && submission.Message.OrderKey != ""
	deadlines := putDeadlinesOf(ctx)
	var place *placement
	for {
		if place == nil {
			place = c.pickPlacement(submission.Message.OrderKey, ordered)
		}
		if place != nil {
			err := c.attemptPut(ctx, deadlines, place, submission, body)
			if err == nil {
				return place.id, nil
			}
			if rpc.CodeOf(err) == rpc.CodeInvalid {
				return "", trace.Wrap(err)
			}
			if ordered && errors.Is(err, errUnresponsive) {
				return "", putError(false)
			}
		}
		sent := place != nil && place.sent
		if deadlines.passed(place) || !waitForRetry(ctx) {
			return "", putError(sent)
		}
		if !sent && !ordered {
			place = nil
		}
	}
}

// putDeadlines has the times at which a put gives up.
type putDeadlines struct {
	unsent       time.Time // if the message was sent to no store
	unresponsive time.Time // if the store that it was sent to does not respond
}

// putDeadlinesOf derives the deadlines of a put from that of its caller.
func putDeadlinesOf(ctx context.Context) putDeadlines {
	now := time.Now()
	limit := putTimeout
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		limit = time.Duration(giveUpFraction * float64(time.Until(deadline)))
	}
	return putDeadlines{unsent: now.Add(min(limit, unsentTimeout)), unresponsive: now.Add(limit)}
}

// passed reports whether a put gives up after a failed attempt. If the process of the store has ended with the message
// in flight, the put retries for as long as its caller waits: the process restarts soon, and then knows whether it has
// the message.
func (d putDeadlines) passed(place *placement) bool {
	if place == nil || !place.sent {
		return time.Now().After(d.unsent)
	}
	return place.unresponsive
}

// putError returns the error of a put that gives up. sent means that the message may have reached a store.
func putError(sent bool) error {
	if sent {
		return errOutcomeUnknown
	}
	return trace.Wrap(message.ErrNotStored)
}

// waitForRetry waits for retryInterval and reports whether there is time for another attempt.
func waitForRetry(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	if hasDeadline && time.Until(deadline) < retryInterval+responseReserve {
		return false
	}
	ctxtime.Sleep(ctx, retryInterval)
	return ctx.Err() == nil
}

// attemptPut makes one call to the partition's primary, and records in the placement whether the message may have
// reached the store.
func (c *Client) attemptPut(
	ctx context.Context, deadlines putDeadlines, place *placement, submission message.Submission, body []byte,
) error {
	submission.Message.Partition, submission.Message.ID = place.partition, place.id
	entry := c.primary(place.partition)
	if entry == nil {
		return trace.Wrap(rpc.ErrNotSent)
	}
	if entry.Unresponsive && !place.sent {
		return trace.Wrap(errUnresponsive)
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	started := time.Now()
	timeout := c.responseTimeout()
	unhealthyTimer := time.AfterFunc(timeout, func() { c.markUnhealthy(entry, false) })
	defer unhealthyTimer.Stop()
	giveUpTimer := time.AfterFunc(max(time.Until(deadlines.unresponsive)-timeout, timeout), func() {
		if !c.mayStillStore(ctx, entry, started, timeout) {
			cancel()
		}
	})
	defer giveUpTimer.Stop()
	_, err := c.pool.Get(entry.Address).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, body, nil)
	c.recordAttempt(ctx, place, entry, started, err)
	return err
}

// mayStillStore reports whether to go on waiting for a store that a message was sent to at the given time. A store that
// the control plane has marked as unresponsive is most likely partitioned from its backups too, although it may respond
// to this process.
func (c *Client) mayStillStore(ctx context.Context, entry *cluster.StoreEntry, since time.Time, timeout time.Duration) bool {
	if table := c.table(); table != nil {
		if current := table.Store(entry.Name); current != nil && current.Unresponsive {
			return false
		}
	}
	return c.respondedSince(entry, since) || c.respondsNow(ctx, entry, timeout)
}

// recordAttempt updates the placement and the health of the store by the result of a call. The message may have reached
// the store unless the error is rpc.ErrNotSent or has the code rpc.CodeNotLeader or rpc.CodeUnavailable.
func (c *Client) recordAttempt(
	ctx context.Context, place *placement, entry *cluster.StoreEntry, started time.Time, err error,
) {
	switch {
	case err == nil:
		c.recordPut(entry, time.Since(started))
	case errors.Is(err, rpc.ErrNotSent):
		c.markUnhealthy(entry, ctx.Err() == nil)
	case errors.Is(err, rpc.ErrResponseLost):
		place.sent = true
		place.unresponsive = ctx.Err() != nil && !c.respondedSince(entry, started)
		c.markUnhealthy(entry, ctx.Err() == nil)
	case rpc.CodeOf(err) != rpc.CodeNotLeader && rpc.CodeOf(err) != rpc.CodeUnavailable:
		place.sent = true
		c.recordResponse(entry)
	default:
		c.recordResponse(entry)
	}
}
