package messagestore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"gladepick/internal/cluster"
	"gladepick/internal/messagestore/protocol"
	"gladepick/internal/messagestore/record"
)

// catchUp is the state of a new primary that may lack outcomes which other replicas have. Until these have answered, it
// holds back the messages that its own log calls queued. Store.mu guards it.
type catchUp struct {
	held       []*entry
	heldKeys   map[string]bool // order keys of the held messages
	unanswered map[string]bool // by disk ID: replicas that have not told yet what they know
	since      time.Time
	learned    int // outcomes that this store did not have
}

// beginCatchUp holds back the queued messages of a new primary until the other replicas of the view have told which of
// them have ended. Messages that are accepted from now on do not wait, except behind a held one of the same order key.
// The caller must hold s.mu.
func (s *Store) beginCatchUp(p *partition, queued []*entry) {
	if len(queued) == 0 {
		return
	}
	state := &catchUp{heldKeys: make(map[string]bool), unanswered: make(map[string]bool), since: time.Now()}
	for _, e := range queued {
		state.hold(e)
	}
	for _, replica := range p.backups() {
		state.unanswered[replica.DiskID] = true
	}
	p.catchUp = state
	s.endCatchUpIfAnswered(p)
}

// hold holds a message back.
func (c *catchUp) hold(e *entry) {
	c.held = append(c.held, e)
	if e.message.OrderKey != "" {
		c.heldKeys[e.message.OrderKey] = true
	}
}

// heldIDs returns the IDs of the held messages that have not ended. The catch-up may be nil.
func (c *catchUp) heldIDs() []string {
	if c == nil {
		return nil
	}
	var ids []string
	for _, e := range c.held {
		if !e.ended() {
			ids = append(ids, e.message.ID)
		}
	}
	return ids
}

// submit passes a committed message to the engine, or holds it back behind an earlier message of its order key. The
// caller must hold s.mu.
func (s *Store) submit(p *partition, e *entry) {
	if p.catchUp != nil && p.catchUp.heldKeys[e.message.OrderKey] {
		p.catchUp.hold(e)
		return
	}
	s.engine.Submit(e.message, e.failures)
}

// learn takes over what a replica's inventory tells of the held messages: outcomes and numbers of failed attempts.
func (s *Store) learn(p *partition, epoch uint64, replica cluster.Replica, inventory *protocol.InventoryResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !p.isPrimary || p.epoch != epoch || p.catchUp == nil {
		return
	}
	for _, e := range p.catchUp.held {
		s.learnEntry(p, e, inventory)
	}
	delete(p.catchUp.unanswered, replica.DiskID)
	s.endCatchUpIfAnswered(p)
}

// learnEntry takes over what an inventory tells of one held message. The caller must hold s.mu.
func (s *Store) learnEntry(p *partition, e *entry, inventory *protocol.InventoryResponse) {
	if e.ended() {
		return
	}
	id := e.message.ID
	if ended, found := inventory.Outcomes[id]; found {
		p.catchUp.learned++
		s.endEntry(p, e, p.endedRecord(id, ended.Outcome, ended.EndedAt))
		return
	}
	s.learnFailures(p, id, e, inventory.Failures[id])
}

// learnFailures takes over the number of failed attempts that another replica knows of. The caller must hold s.mu.
func (s *Store) learnFailures(p *partition, id string, e *entry, failures int) {
	if failures <= e.failures {
		return
	}
	e.failures = failures
	s.appendAndReplicate(p, &record.Record{
		Kind: record.Failed, Partition: p.id, Epoch: p.epoch, ID: id, Failures: failures,
	})
}

// addDetails adds to an inventory what the asking store, a new primary, may lack. The caller must hold s.mu.
func (s *Store) addDetails(request *protocol.InventoryRequest, response *protocol.InventoryResponse) {
	p := s.partition(request.Partition)
	response.LeaseGrantsMS = s.leaseGrantsRemaining(request.From).Milliseconds()
	ids := request.DetailsOf
	if len(ids) == 0 {
		ids = slices.Collect(maps.Keys(p.entries))
	}
	response.Outcomes, response.Failures = make(map[string]protocol.EndedMessage), make(map[string]int)
	for _, id := range ids {
		e := p.entries[id]
		switch {
		case e == nil:
		case e.ended():
			response.Outcomes[id] = protocol.EndedMessage{Outcome: e.outcome, EndedAt: e.endedAt}
		case e.failures > 0:
			response.Failures[id] = e.failures
		}
	}
}

// endCatchUpIfAnswered ends a catch-up and submits the held messages that have not ended, in their order, once no
// replica of the view is awaited. The caller must hold s.mu.
func (s *Store) endCatchUpIfAnswered(p *partition) {
	state := p.catchUp
	if state == nil || slices.ContainsFunc(p.backups(), func(replica cluster.Replica) bool { return s.isAwaited(state, replica) }) {
		return
	}
	p.catchUp = nil
	slices.SortStableFunc(state.held, func(a, b *entry) int { return cmp.Compare(a.sequence(), b.sequence()) })
	submitted := 0
	for _, e := range state.held {
		if !e.ended() {
			submitted++
			s.engine.Submit(e.message, e.failures)
		}
	}
	if state.learned > 0 {
		s.logger.Info("learned from other replicas how messages ended", zap.Int("partition", p.id),
			zap.Int("ended", state.learned), zap.Int("queued", submitted))
	}
}

// isAwaited reports whether a catch-up waits for a replica's answer. A replica that is down or can't be reached, and
// stays in the view because no other store can take its place, is awaited for unreachableReplicaWait. The caller must
// hold s.mu.
func (s *Store) isAwaited(state *catchUp, replica cluster.Replica) bool {
	if !state.unanswered[replica.DiskID] {
		return false
	}
	if time.Since(state.since) < unreachableReplicaWait {
		return true
	}
	entry := s.table.Store(replica.Store)
	isDown := entry == nil || entry.State == cluster.StoreDown || entry.DiskID != replica.DiskID
	return !isDown && !replica.Suspected
}

// sequence returns the message's sequence number, or 0 if the message has completed and its details are dropped.
func (e *entry) sequence() uint64 {
	if e.message == nil {
		return 0
	}
	return e.message.Sequence
}
