// The attempts of durable jobs: each waits for the commit of its intent and must begin before a deadline.

package durablejobs

import (
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// leasedTransport wraps a transport. Attempts of durable jobs wait until their intents are committed; other attempts
// pass through.
type leasedTransport struct {
	manager *Manager
	dispatch.Transport
}

// WrapTransport returns a transport that delays the attempts of durable jobs until they are granted. It returns nil for
// nil.
func (m *Manager) WrapTransport(wrapped dispatch.Transport) dispatch.Transport {
	if wrapped == nil {
		return nil
	}
	return &leasedTransport{m, wrapped}
}

// Send is called on the core's goroutine.
func (t *leasedTransport) Send(a *dispatch.Attempt) {
	if a.Job.MayStart == nil {
		t.Transport.Send(a)
		return
	}
	t.manager.post(func() { t.manager.requestSend(a, t.Transport) })
}

// requestSend proposes the intent of an attempt. It ends the attempt if its job has no entry any more.
func (m *Manager) requestSend(attempt *dispatch.Attempt, transport dispatch.Transport) {
	e := m.entryByInnerJob[attempt.Job]
	if e == nil {
		attempt.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	place := uint32(0)
	switch m.node.Module.Classes[attempt.Job.Class].DedupScope {
	case decision.DedupByZone:
		place = uint32(config.Index(m.node.Zones, attempt.Worker.Zone) + 1)
	case decision.DedupByCell:
		place = uint32(attempt.Worker.Cell + 1)
	}
	e.requested[attempt.Number()] = requestedSend{attempt, transport}
	m.carryOutLease(e, e.lease.RequestSend(attempt.Number(), place, m.unixMs()))
}

// sendGranted sends an attempt whose intent is committed.
func (m *Manager) sendGranted(e *entry, number int) {
	send, ok := e.requested[number]
	if !ok { // the attempt has ended in the meantime and was not sent
		e.lease.AttemptEnded(true)
		return
	}
	delete(e.requested, number)
	e.granted[number] = true
	e.sendBy.Store(int64(m.now()) + e.lease.SendTimeLeft(m.unixMs())*int64(time.Millisecond))
	send.transport.Send(send.Attempt)
	m.crashPoint("sent")
}

// expire rejects clients whose deadline has passed, and polls the records of jobs whose lease another owner has.
func (m *Manager) expire() {
	now := m.now()
	for e := range m.entries {
		switch {
		case now >= e.deadline && e.clientJob != nil:
			m.carryOutLease(e, e.lease.ClientTimedOut())
		case e.lease.IsWaiting() && now >= e.nextQueryAt:
			e.nextQueryAt = now + m.limits.LeasePollInterval
			if e.queryToken == 0 {
				m.queryRecord(e)
			}
		}
	}
}
