// Attempts of durable jobs: which may be sent, and until when.

package durablejobs

import (
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// leasedTransport stands before a transport: attempts of durable jobs wait until their intents are committed.
type leasedTransport struct {
	manager *Manager
	dispatch.Transport
}

// WrapTransport puts the manager before a transport.
func (m *Manager) WrapTransport(f dispatch.Transport) dispatch.Transport {
	if f == nil {
		return nil
	}
	return &leasedTransport{m, f}
}

// Send is called on the core's goroutine.
func (f *leasedTransport) Send(a *dispatch.Attempt) {
	if a.Job.MayStart == nil {
		f.Transport.Send(a)
		return
	}
	f.manager.post(func() { f.manager.requestSend(a, f.Transport) })
}

// requestSend asks the replicas to allow a send.
func (m *Manager) requestSend(a *dispatch.Attempt, floor dispatch.Transport) {
	e := m.entryByInnerJob[a.Job]
	if e == nil {
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	place := uint32(0)
	switch m.node.Module.Classes[a.Job.Class].DedupScope {
	case decision.DedupByZone:
		place = uint32(config.Index(m.node.Zones, a.Worker.Zone) + 1)
	case decision.DedupByCell:
		place = uint32(a.Worker.Cell + 1)
	}
	e.requested[a.Number()] = requestedSend{a, floor}
	m.carryOutLease(e, e.lease.RequestSend(a.Number(), place, m.wall()))
}

// sendGranted sends an attempt whose intent is committed.
func (m *Manager) sendGranted(e *entry, n int) {
	a, ok := e.requested[n]
	if !ok { // it has ended meanwhile: nothing was sent
		e.lease.AttemptEnded(true)
		return
	}
	delete(e.requested, n)
	e.granted[n] = true
	e.sendBy.Store(int64(m.now()) + e.lease.SendTimeLeft(m.wall())*int64(time.Millisecond))
	a.transport.Send(a.Attempt)
	m.crashPoint("sent")
}

// expire answers clients whose time is over, and queries the jobs that other dispatchers hold.
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
