// Package transport carries the membership over UDP. It owns the socket, the clock of the state machine, the operator's
// log of events, and the status that operators are shown.
//
// The goroutine of Run owns the state machine and sends; another goroutine, ended with the socket, reads datagrams and
// drops those of unknown senders beyond a small budget. Other goroutines reach the machine by Run's calls alone.
package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/membership"
)

// Status is what an operator is shown. Its JSON form is that of GET /members.
type Status struct {
	Name        string                    `json:"name"`
	Incarnation uint64                    `json:"life"`
	View        string                    `json:"view"`
	Number      uint64                    `json:"view_number"`
	Size        int                       `json:"view_members"`
	Quorum      bool                      `json:"quorum"` // this side has a majority of the view
	Joined      bool                      `json:"joined"`
	Health      int                       `json:"health"` // 0 is well; each step makes its accusations wait longer
	Members     []membership.MemberStatus `json:"members"`
	Counts      membership.Counters       `json:"counters"`
	Dropped     uint64                    `json:"dropped"` // datagrams read and not taken in: strangers' beyond the budget, and overflow
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

// Transport carries one member. Make it with New, then call Run.
type Transport struct {
	config         *config.Membership
	limits         config.Limits
	socket         *net.UDPConn
	machine        *membership.Machine
	startedAt      time.Time
	received       chan datagram
	calls          chan func()
	ended          chan struct{}
	knownAddresses atomic.Pointer[map[netip.AddrPort]bool]
	sendLimiter    *rate.Limiter // bytes
	dropped        atomic.Uint64
	events         *EventLog
}

// New opens the socket and makes the machine.
func New(n *config.Node) (*Transport, error) {
	c := n.Membership
	t := &Transport{config: c, limits: n.Limits, startedAt: time.Now(), received: make(chan datagram, n.Limits.QueuedPeerDatagrams), calls: make(chan func()),
		ended: make(chan struct{}), sendLimiter: rate.NewLimiter(rate.Limit(n.Limits.PeerBytesPerSecond), n.Limits.PeerBytesPerSecond)}
	conf := membership.Config{Name: n.Name, Zone: n.ZoneName(), Address: c.Advertise, Seed: n.Seed ^ rand.Uint64(), Period: c.ProbeInterval, FailureTimeout: c.SuspicionTimeout,
		Incarnation: uint64(time.Now().UnixMilli())<<10 | rand.Uint64N(1<<10), LearnAddresses: c.LearnNames,
		Metadata: membership.Metadata{Weight: float32(c.Weight), Version: c.Version}}
	if len(c.Peers) > 0 {
		conf.AddressBook = map[string]netip.AddrPort{}
	}
	for _, peer := range c.Peers {
		if peer.Name != n.Name {
			conf.Seeds = append(conf.Seeds, peer.Address)
			if peer.Name != "" {
				conf.AddressBook[peer.Name] = peer.Address
			}
		}
	}
	var err error
	if t.machine, err = membership.New(conf, t.now()); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	if c.Events != "" {
		if t.events, err = OpenEventLog(c.Events); err != nil {
			return nil, fmt.Errorf("%s: key members.events: %w", c.Path, err)
		}
	}
	if t.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen)); err != nil {
		return nil, fmt.Errorf("%s: key members.listen: %w", c.Path, err)
	}
	t.logEvent(map[string]any{"start": conf.Incarnation, "name": n.Name})
	t.updateKnownAddresses()
	return t, nil
}

// now is the machine's clock: monotonic.
func (t *Transport) now() time.Duration { return time.Hour + time.Since(t.startedAt) }

// Run carries the member until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	defer close(t.ended)
	stop := context.AfterFunc(ctx, func() { t.socket.Close() })
	defer stop()
	go t.read(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev membership.Event
		select {
		case <-ctx.Done():
			return
		case f := <-t.calls:
			f()
			continue
		case d := <-t.received:
			ev = membership.Event{Kind: membership.DatagramReceived, From: d.from, Data: d.data}
		case <-timer.C:
			ev = membership.Event{Kind: membership.Tick}
		}
		timer.Reset(t.handle(ev))
	}
}

// handle gives the machine one event and carries out what follows; it tells when the next one is due at the latest.
func (t *Transport) handle(ev membership.Event) time.Duration {
	acts := t.machine.Handle(t.now(), ev)
	for _, o := range acts.Send {
		if !t.sendLimiter.AllowN(time.Now(), len(o.Data)) { // the same as a loss on the way, which the machine tolerates
			t.dropped.Add(1)
			continue
		}
		t.socket.WriteToUDPAddrPort(o.Data, o.To) // an error is a loss too: the receiver does not answer
	}
	for _, c := range acts.Changes {
		slog.Info("member", "name", c.Name, "life", c.Incarnation, "state", c.State.String(), "why", c.Reason)
		t.logEvent(map[string]any{"member": c.Name, "of": c.Incarnation, "state": c.State.String(), "why": c.Reason})
	}
	for _, n := range acts.Notices {
		slog.Warn("membership", "kind", n.Kind, "text", n.Text)
		t.logEvent(map[string]any{"notice": n.Kind, "text": n.Text})
	}
	if v := acts.View; v != nil {
		slog.Info("view", "view", v.ViewID.String(), "members", len(v.Members))
		if t.events != nil {
			ids := make([]string, len(v.Members))
			for i, m := range v.Members {
				ids[i] = fmt.Sprintf("%s.%d", m.Name, m.Incarnation)
			}
			t.logEvent(map[string]any{"view": v.Number, "epoch": v.Epoch, "fleet": v.FleetID, "digest": fmt.Sprintf("%016x", v.Digest), "members": ids})
		}
	}
	if len(acts.Changes) > 0 || acts.View != nil {
		t.updateKnownAddresses()
	}
	return max(acts.Next-t.now(), time.Millisecond)
}

// logEvent writes a line of the operator's log of events.
func (t *Transport) logEvent(line map[string]any) {
	line["life"] = t.machine.Incarnation()
	t.events.Write(line)
}

// updateKnownAddresses tells the reader which senders are known.
func (t *Transport) updateKnownAddresses() {
	known := t.machine.Addresses()
	t.knownAddresses.Store(&known)
}

// read takes datagrams off the socket. Beyond a number a second it stops reading for a moment, and the machine's own
// buffers drop the rest at no cost here.
func (t *Transport) read(ctx context.Context) {
	all := rate.NewLimiter(rate.Limit(t.limits.PeerDatagramsPerSecond), t.limits.PeerDatagramsPerSecond/10)
	strangers := rate.NewLimiter(rate.Limit(t.limits.UnknownPeerDatagramsPerSecond), t.limits.UnknownPeerDatagramsPerSecond)
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	for {
		n, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil { // some systems report here that a datagram was rejected by a port without a process
			continue
		}
		if all.Wait(ctx) != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !(*t.knownAddresses.Load())[from] && !strangers.Allow() {
			t.dropped.Add(1)
			continue
		}
		select {
		case t.received <- datagram{from, append([]byte(nil), buffer[:n]...)}:
		default:
			t.dropped.Add(1)
		}
	}
}

// call runs f on the goroutine that owns the machine, and tells whether that still runs.
func (t *Transport) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case t.calls <- func() { f(); close(done) }:
		<-done
		return true
	case <-t.ended:
	case <-ctx.Done():
	}
	return false
}

// Status returns what this member knows now, and false where Run has ended or ctx does.
func (t *Transport) Status(ctx context.Context) (s Status, ok bool) {
	ok = t.call(ctx, func() {
		v := t.machine.View()
		s = Status{Name: t.machine.Name(), Incarnation: t.machine.Incarnation(), View: v.ViewID.String(), Number: v.Number, Size: len(v.Members), Quorum: t.machine.Quorum(),
			Joined: t.machine.Joined(), Health: t.machine.Health(), Members: t.machine.Members(), Counts: t.machine.Counters, Dropped: t.dropped.Load()}
	})
	return s, ok
}

// View returns the last view of this member, its own incarnation, whether it is in the view, and whether its side has a
// majority of it.
func (t *Transport) View(ctx context.Context) (v membership.View, incarnation uint64, joined, quorum bool) {
	t.call(ctx, func() {
		v, incarnation, joined, quorum = t.machine.View(), t.machine.Incarnation(), t.machine.Joined(), t.machine.Quorum()
	})
	return v, incarnation, joined, quorum
}

// Draining lets the other members read that this dispatcher is draining.
func (t *Transport) Draining(ctx context.Context) {
	t.call(ctx, func() {
		t.handle(membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{Weight: float32(t.config.Weight), Version: t.config.Version, Draining: true}})
	})
}

// Leave tells the other members that this one leaves, and gives the news time to spread.
func (t *Transport) Leave(ctx context.Context) {
	if !t.call(ctx, func() { t.handle(membership.Event{Kind: membership.Leave}) }) {
		return
	}
	for range 4 { // the machine goes on answering while it leaves
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.limits.PeerLeaveTimeout / 4):
			t.call(ctx, func() { t.handle(membership.Event{Kind: membership.Tick}) })
		}
	}
}
