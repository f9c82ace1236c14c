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
	putTimeout      = time.Second // of one call, and of a caller without a deadline
	retryInterval   = 25 * time.Millisecond
	unsentTimeout   = 300 * time.Millisecond // how long a message that no store was sent is offered
	responseReserve = 60 * time.Millisecond  // kept of the caller's time for the answer

	// giveUpFraction is the part of the caller's time after which a message is given up that no store was sent, or that was
	// sent to a store which responds to nothing. The caller hears of it at once, with time left to come back. A store that
	// responds most likely waits for a backup, which is replaced soon: its answer is awaited for as long as the caller does.
	giveUpFraction = 0.45
)

// placement is where a message is to be stored: its partition, and the ID that names it.
type placement struct {
	partition    int
	id           string
	sent         bool // the message may have reached a store under this ID
	unresponsive bool // that store has not responded to any call since
}

// Put stores a message and returns its ID, which names the partition. An ordered message with an order key goes to the
// partition of its key. An error that is message.ErrNotStored promises that the message is not stored and will never run;
// with any other error it may be stored. A store's rejection as invalid is returned as it came.
func (c *Client) Put(
	ctx context.Context, submission message.Submission, ordered bool, body []byte,
) (string, error) {
	ordered = ordered && submission.Message.OrderKey != ""
	deadlines := putDeadlinesOf(ctx)
	var place *placement
	for {
		if place == nil {
			place = c.place(submission.Message.OrderKey, ordered)
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

// putDeadlines says until when a message is offered.
type putDeadlines struct {
	unsent       time.Time // while no store was sent it
	unresponsive time.Time // while a store that was sent it does not respond
}

// putDeadlinesOf divides the time that a caller has.
func putDeadlinesOf(ctx context.Context) putDeadlines {
	now := time.Now()
	limit := putTimeout
	if deadline, limited := ctx.Deadline(); limited {
		limit = time.Duration(giveUpFraction * float64(time.Until(deadline)))
	}
	return putDeadlines{unsent: now.Add(min(limit, unsentTimeout)), unresponsive: now.Add(limit)}
}

// passed tells whether a message that was not stored is given up. One whose store was lost is offered again for as long as
// its caller waits: a process that ended is back soon, and knows whether it has the message.
func (d putDeadlines) passed(place *placement) bool {
	if place == nil || !place.sent {
		return time.Now().After(d.unsent)
	}
	return place.unresponsive
}

// putError returns the error of a message that is given up.
func putError(sent bool) error {
	if sent {
		return errOutcomeUnknown
	}
	return trace.Wrap(message.ErrNotStored)
}

// waitForRetry waits before the next attempt, and tells whether there is time for one.
func waitForRetry(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	if limited && time.Until(deadline) < retryInterval+responseReserve {
		return false
	}
	ctxtime.Sleep(ctx, retryInterval)
	return ctx.Err() == nil
}

// attemptPut makes one call, and notes in the placement what the store may know of the message by then.
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
	slow := time.AfterFunc(timeout, func() { c.markUnhealthy(entry, false) })
	defer slow.Stop()
	giveUp := time.AfterFunc(max(time.Until(deadlines.unresponsive)-timeout, timeout), func() {
		if !c.mayStillStore(ctx, entry, started, timeout) {
			cancel()
		}
	})
	defer giveUp.Stop()
	_, err := c.pool.Get(entry.Address).Call(ctx, protocol.MethodPut, protocol.PutRequest{Submission: submission}, body, nil)
	c.recordAttempt(ctx, place, entry, started, err)
	return err
}

// mayStillStore tells whether it is worth to wait on for a store that has had a message since a moment. One that the control
// plane finds unresponsive is most likely partitioned from its backups too, although it may respond to this process.
func (c *Client) mayStillStore(ctx context.Context, entry *cluster.StoreEntry, since time.Time, timeout time.Duration) bool {
	if table := c.table(); table != nil {
		if now := table.Store(entry.Name); now != nil && now.Unresponsive {
			return false
		}
	}
	return c.respondedSince(entry, since) || c.respondsNow(ctx, entry, timeout)
}

// recordAttempt notes what the result of a call says of the message and of the store.
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
