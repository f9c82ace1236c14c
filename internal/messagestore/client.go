package messagestore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"gladepick/internal/cluster"
	"gladepick/internal/ctxtime"
	"gladepick/internal/message"
	"gladepick/internal/rpc"
)

const (
	putTimeout     = time.Second
	queryTimeout   = 600 * time.Millisecond
	retryPause     = 25 * time.Millisecond
	suspectFor     = time.Second
	refusePatience = 300 * time.Millisecond // how long a message that no store was sent is offered
	answerReserve  = 60 * time.Millisecond  // kept of the caller's time for the answer

	// givenUpAfter is the part of the caller's time after which a message is given up that no store was sent, or that
	// was sent to a store which has said nothing since. The caller is told at once, with time left to come back.
	givenUpAfter = 0.45
)

// Client hands messages to the stores and asks for them, for a front.
type Client struct {
	zone   string
	pool   *rpc.Pool
	table  func() *cluster.Table
	report func(report cluster.FailureReport)

	mu       sync.Mutex
	answers  answerTimes          // of puts, by all stores
	suspects map[string]time.Time // by store: not preferred until then
	heard    map[string]time.Time // by store: when it last answered a call
	routed   *cluster.Table       // the table that near and far were made from
	near     []int                // partitions whose primary stands in this zone
	far      []int                // all other partitions that have a primary
}

// NewClient returns a client of the stores that a table lists. Stores that can't be reached are reported.
func NewClient(zone string, pool *rpc.Pool, table func() *cluster.Table, report func(cluster.FailureReport)) *Client {
	return &Client{
		zone: zone, pool: pool, table: table, report: report,
		suspects: make(map[string]time.Time), heard: make(map[string]time.Time),
	}
}

// Ready tells whether a message could be kept now.
func (c *Client) Ready() bool {
	table := c.table()
	if table == nil {
		return false
	}
	for _, view := range table.Partitions {
		if len(view.Replicas) >= table.Copies {
			return true
		}
	}
	return false
}

// errSilent means that a message was not sent, as the control plane finds that the store does not answer. One that has an
// order key can go nowhere else: its caller is told at once, with time left to come back.
var errSilent = errors.New("the store does not answer")

// placement is where a message is to be kept: its partition, and the ID that names it.
type placement struct {
	partition int
	id        string
	sent      bool // the message may have reached a store under this ID
	silent    bool // that store has answered nothing since
}

// Put has a message kept. An error that is message.ErrNotKept promises that it is not and will never run.
func (c *Client) Put(
	ctx context.Context, submission message.Submission, ordered bool, body []byte,
) (string, error) {
	ordered = ordered && submission.Message.OrderKey != ""
	patience := patienceOf(ctx)
	var place *placement
	for {
		if place == nil {
			place = c.place(submission.Message.OrderKey, ordered)
		}
		if place != nil {
			err := c.putOnce(ctx, patience, place, submission, body)
			if err == nil {
				return place.id, nil
			}
			if rpc.CodeOf(err) == rpc.CodeInvalid {
				return "", trace.Wrap(err)
			}
			if ordered && errors.Is(err, errSilent) {
				return "", c.putError(false)
			}
		}
		sent := place != nil && place.sent
		if patience.isOver(place) || !c.pause(ctx) {
			return "", c.putError(sent)
		}
		if !sent && !ordered {
			place = nil
		}
	}
}

// patience says until when a message is offered.
type patience struct {
	unsentUntil time.Time // while no store was sent it
	silentUntil time.Time // while a store that was sent it says nothing
}

// patienceOf divides the time that a caller has.
func patienceOf(ctx context.Context) patience {
	now := time.Now()
	limit := putTimeout
	if deadline, limited := ctx.Deadline(); limited {
		limit = time.Duration(givenUpAfter * float64(time.Until(deadline)))
	}
	return patience{unsentUntil: now.Add(min(limit, refusePatience)), silentUntil: now.Add(limit)}
}

// isOver tells whether a message that was not kept is given up. One whose store was lost is offered again for as long as
// its caller waits: a process that ended is back soon, and knows whether it has the message.
func (p patience) isOver(place *placement) bool {
	if place == nil || !place.sent {
		return time.Now().After(p.unsentUntil)
	}
	return place.silent
}

func (c *Client) putError(sent bool) error {
	if sent {
		return errors.New("no answer from the stores")
	}
	return trace.Wrap(message.ErrNotStored)
}

// pause waits before the next try, and tells whether there is time for one.
func (c *Client) pause(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	if limited && time.Until(deadline) < retryPause+answerReserve {
		return false
	}
	ctxtime.Sleep(ctx, retryPause)
	return ctx.Err() == nil
}

// putOnce makes one call.
func (c *Client) putOnce(
	ctx context.Context, patience patience, place *placement, submission message.Submission, body []byte,
) error {
	submission.Message.Partition, submission.Message.ID = place.partition, place.id
	entry := c.primary(place.partition)
	if entry == nil {
		return trace.Wrap(rpc.ErrNotSent)
	}
	if entry.Unresponsive && !place.sent {
		return trace.Wrap(errSilent)
	}
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	started := time.Now()
	silence := c.silence()
	suspected := time.AfterFunc(silence, func() { c.suspect(entry, false) })
	defer suspected.Stop()
	givenUp := time.AfterFunc(max(time.Until(patience.silentUntil), silence), func() {
		if !c.heardSince(entry, started) {
			cancel()
		}
	})
	defer givenUp.Stop()
	_, err := c.pool.Get(entry.Address).Call(ctx, methodPut, putRequest{submission}, body, nil)
	switch {
	case err == nil:
		c.notePut(entry, time.Since(started))
		return nil
	case errors.Is(err, rpc.ErrNotSent):
		c.suspect(entry, ctx.Err() == nil)
	case errors.Is(err, rpc.ErrResponseLost):
		place.sent = true
		place.silent = ctx.Err() != nil && !c.heardSince(entry, started)
		c.suspect(entry, ctx.Err() == nil)
	case rpc.CodeOf(err) != rpc.CodeNotLeader && rpc.CodeOf(err) != rpc.CodeUnavailable:
		place.sent = true
		c.noteAnswer(entry)
	default:
		c.noteAnswer(entry)
	}
	return err
}

// silence is after how long without an answer to a put a store counts as silent.
func (c *Client) silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.silence()
}

// notePut notes that a store has kept a message, and how long that took.
func (c *Client) notePut(entry *cluster.StoreEntry, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[entry.Name] = time.Now()
	c.answers.note(took)
}

// noteAnswer notes that a store lives.
func (c *Client) noteAnswer(entry *cluster.StoreEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[entry.Name] = time.Now()
}

// heardSince tells whether a store has answered any call since a moment: one that lives may wait for a backup.
func (c *Client) heardSince(entry *cluster.StoreEntry, since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard[entry.Name].After(since)
}

// suspect notes and reports that a store can't be reached.
func (c *Client) suspect(entry *cluster.StoreEntry, refused bool) {
	c.mu.Lock()
	last := c.suspects[entry.Name]
	c.suspects[entry.Name] = time.Now().Add(suspectFor)
	c.mu.Unlock()
	if time.Now().After(last) {
		c.report(cluster.FailureReport{Node: entry.Name, Address: entry.Address, Refused: refused})
	}
}

// place picks a partition: by the order key where there is one, else any with a primary at hand.
func (c *Client) place(orderKey string, ordered bool) *placement {
	table := c.table()
	if table == nil || len(table.Partitions) == 0 {
		return nil
	}
	if ordered {
		hash := fnv.New64a()
		hash.Write([]byte(orderKey))
		return newPlacement(int(hash.Sum64() % uint64(len(table.Partitions))))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route(table)
	for _, candidates := range [][]int{c.near, c.far} {
		if id, found := c.anyOf(table, candidates); found {
			return newPlacement(id)
		}
	}
	return nil
}

// newPlacement names a message; the name's first part is the partition.
func newPlacement(partition int) *placement {
	return &placement{partition: partition, id: fmt.Sprintf("%x-%016x", partition, rand.Uint64())}
}

// route sorts the partitions by where their primaries stand. The caller holds the lock.
func (c *Client) route(table *cluster.Table) {
	if c.routed == table {
		return
	}
	c.routed, c.near, c.far = table, nil, nil
	for _, view := range table.Partitions {
		primary, found := view.Primary()
		entry := table.Store(primary.Store)
		if !found || entry == nil || len(view.Replicas) < table.Copies {
			continue
		}
		if entry.Zone == c.zone && entry.State == cluster.StoreActive && view.PreferredPrimary == "" {
			c.near = append(c.near, view.ID)
		} else {
			c.far = append(c.far, view.ID)
		}
	}
}

// anyOf picks a candidate at random whose primary is neither suspect here nor silent by the table. The caller holds the lock.
func (c *Client) anyOf(table *cluster.Table, candidates []int) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	first := rand.IntN(len(candidates))
	now := time.Now()
	for i := range candidates {
		id := candidates[(first+i)%len(candidates)]
		primary, _ := table.Partitions[id].Primary()
		entry := table.Store(primary.Store)
		if now.After(c.suspects[primary.Store]) && entry != nil && !entry.Unresponsive {
			return id, true
		}
	}
	return 0, false
}

// primary returns the store that leads a partition, or nil.
func (c *Client) primary(id int) *cluster.StoreEntry {
	table := c.table()
	if table == nil || id < 0 || id >= len(table.Partitions) {
		return nil
	}
	replica, found := table.Partitions[id].Primary()
	if !found {
		return nil
	}
	return table.Store(replica.Store)
}

// State asks for a message's state.
func (c *Client) State(ctx context.Context, id string) (message.Outcome, error) {
	var outcome message.Outcome
	_, err := c.query(ctx, methodState, id, &outcome)
	return outcome, err
}

// Body asks for a message's body.
func (c *Client) Body(ctx context.Context, id string) ([]byte, error) {
	body, err := c.query(ctx, methodBody, id, nil)
	if errors.Is(err, message.ErrNotFound) {
		return nil, trace.Wrap(message.ErrBodyNotFound)
	}
	return body, err
}

// query asks the partition's replicas in turn, the primary first, until one knows.
func (c *Client) query(ctx context.Context, method, id string, result any) ([]byte, error) {
	partition, err := partitionOf(id)
	if err != nil {
		return nil, trace.Wrap(message.ErrNotFound)
	}
	for {
		body, err := c.queryOnce(ctx, method, partition, id, result)
		if err == nil || errors.Is(err, message.ErrNotFound) || !c.pause(ctx) {
			return body, err
		}
	}
}

func (c *Client) queryOnce(ctx context.Context, method string, partition int, id string, result any) ([]byte, error) {
	table := c.table()
	if table == nil {
		return nil, errors.New("no cluster table yet")
	}
	if partition >= len(table.Partitions) {
		return nil, trace.Wrap(message.ErrNotFound)
	}
	last := errors.New("the partition has no replica")
	for _, replica := range table.Partitions[partition].Replicas {
		entry := table.Store(replica.Store)
		if entry == nil {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, queryTimeout)
		body, err := c.pool.Get(entry.Address).Call(limited, method, queryRequest{partition, id}, nil, result)
		cancel()
		if err == nil {
			return body, nil
		}
		if rpc.CodeOf(err) == rpc.CodeNotFound {
			return nil, trace.Wrap(message.ErrNotFound)
		}
		last = err
	}
	return nil, trace.Wrap(last)
}

// partitionOf reads the partition from a message's ID.
func partitionOf(id string) (int, error) {
	prefix, _, found := strings.Cut(id, "-")
	if !found {
		return 0, fmt.Errorf("message ID %q names no partition", id)
	}
	partition, err := strconv.ParseUint(prefix, 16, 31)
	return int(partition), err
}
