// Attempts of kept jobs: what may start, and when.

package durablejobs

import (
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// floors stands before the floors: attempts of jobs that are kept wait for their intents.
type floors struct {
	keeper *Keeper
	dispatch.Transport
}

// Floors puts the keeper before a floor.
func (k *Keeper) WrapTransport(f dispatch.Transport) dispatch.Transport {
	if f == nil {
		return nil
	}
	return &floors{k, f}
}

// Send is called on the core's goroutine.
func (f *floors) Send(a *dispatch.Attempt) {
	if a.Job.MayStart == nil {
		f.Transport.Send(a)
		return
	}
	f.keeper.post(func() { f.keeper.ask(a, f.Transport) })
}

// ask asks the copies for a send.
func (k *Keeper) ask(a *dispatch.Attempt, floor dispatch.Transport) {
	e := k.inners[a.Job]
	if e == nil {
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	place := uint32(0)
	switch k.node.Module.Classes[a.Job.Class].DedupScope {
	case decision.DedupByZone:
		place = uint32(config.Index(k.node.Zones, a.Worker.Zone) + 1)
	case decision.DedupByCell:
		place = uint32(a.Worker.Cell + 1)
	}
	e.asked[a.Number()] = wish{a, floor}
	k.act(e, e.hold.RequestSend(a.Number(), place, k.wall()))
}

// let lets an attempt go out.
func (k *Keeper) let(e *entry, n int) {
	a, ok := e.asked[n]
	if !ok { // it has ended meanwhile: nothing has gone out
		e.hold.AttemptEnded(true)
		return
	}
	delete(e.asked, n)
	e.granted[n] = true
	e.sendBy.Store(int64(k.now()) + e.hold.SendTimeLeft(k.wall())*int64(time.Millisecond))
	a.floor.Send(a.Attempt)
	k.point("sent")
}

// expire answers whose client waits no longer, and looks after jobs that others have.
func (k *Keeper) expire() {
	now := k.now()
	for e := range k.entries {
		switch {
		case now >= e.until && e.client != nil:
			k.act(e, e.hold.Expire())
		case e.hold.IsWaiting() && now >= e.lookAt:
			e.lookAt = now + k.lim.LeasePollInterval
			if e.looking == 0 {
				k.find(e)
			}
		}
	}
}
