// Package transport runs the membership over UDP. It owns the socket, the clock of the state machine, the operator's
// event log, and the status that operators see.
//
// The goroutine of Run owns the state machine and sends datagrams. A second goroutine reads datagrams until the socket
// closes, and drops those of unknown senders beyond a small rate. Other goroutines reach the machine only through
// functions that Run's goroutine runs for them.
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

// Status is the state of the membership as operators see it. Its JSON form is the response of GET /members.
type Status struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	View        string `json:"view"`
	ViewNumber  uint64 `json:"view_number"`
	ViewSize    int    `json:"view_members"`
	Quorum      bool   `json:"quorum"` // this member is in its view and sees a majority of it
	Joined      bool   `json:"joined"`
	// Health is the member's health penalty. 0 is healthy, and each point delays its suspicions.
	Health   int                       `json:"health"`
	Members  []membership.MemberStatus `json:"members"`
	Counters membership.Counters       `json:"counters"`
	// Dropped counts datagrams that were dropped by a full queue, the rate limit for unknown senders or the limit on
	// sent bytes.
	Dropped uint64 `json:"dropped"`
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

// Transport runs one member. Create it with New, then call Run.
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
	sendLimiter    *rate.Limiter // limits sent bytes
	dropped        atomic.Uint64
	events         *EventLog
}

// New creates the machine and opens the event log and the socket.
func New(node *config.Node) (*Transport, error) {
	settings := node.Membership
	t := &Transport{config: settings, limits: node.Limits, startedAt: time.Now(), received: make(chan datagram, node.Limits.QueuedPeerDatagrams), calls: make(chan func()),
		ended: make(chan struct{}), sendLimiter: rate.NewLimiter(rate.Limit(node.Limits.PeerBytesPerSecond), node.Limits.PeerBytesPerSecond)}
	conf := membership.Config{Name: node.Name, Zone: node.ZoneName(), Address: settings.Advertise, Seed: node.Seed ^ rand.Uint64(), Period: settings.ProbeInterval, FailureTimeout: settings.SuspicionTimeout,
		Incarnation: uint64(time.Now().UnixMilli())<<10 | rand.Uint64N(1<<10), LearnAddresses: settings.LearnNames,
		Metadata: membership.Metadata{Weight: float32(settings.Weight), Version: settings.Version}}
	if len(settings.Peers) > 0 {
		conf.AddressBook = map[string]netip.AddrPort{}
	}
	for _, peer := range settings.Peers {
		if peer.Name != node.Name {
			conf.Seeds = append(conf.Seeds, peer.Address)
			if peer.Name != "" {
				conf.AddressBook[peer.Name] = peer.Address
			}
		}
	}
	var err error
	if t.machine, err = membership.New(conf, t.now()); err != nil {
		return nil, fmt.Errorf("%s: %w", settings.Path, err)
	}
	if settings.Events != "" {
		if t.events, err = OpenEventLog(settings.Events); err != nil {
			return nil, fmt.Errorf("%s: key members.events: %w", settings.Path, err)
		}
	}
	if t.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(settings.Listen)); err != nil {
		return nil, fmt.Errorf("%s: key members.listen: %w", settings.Path, err)
	}
	t.logEvent(map[string]any{"start": conf.Incarnation, "name": node.Name})
	t.updateKnownAddresses()
	return t, nil
}

// now returns the machine's time, which is monotonic and starts at 1 h.
func (t *Transport) now() time.Duration { return time.Hour + time.Since(t.startedAt) }

// Run runs the member until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	defer close(t.ended)
	stop := context.AfterFunc(ctx, func() { t.socket.Close() })
	defer stop()
	go t.read(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var event membership.Event
		select {
		case <-ctx.Done():
			return
		case f := <-t.calls:
			f()
			continue
		case d := <-t.received:
			event = membership.Event{Kind: membership.DatagramReceived, From: d.from, Data: d.data}
		case <-timer.C:
			event = membership.Event{Kind: membership.Tick}
		}
		timer.Reset(t.handle(event))
	}
}

// handle hands an event to the machine and carries out the actions that it returns. It returns the time until the next
// event is due. Only Run's goroutine calls it.
func (t *Transport) handle(event membership.Event) time.Duration {
	actions := t.machine.Handle(t.now(), event)
	for _, outgoing := range actions.Send {
		// The machine tolerates this like a loss in the network.
		if !t.sendLimiter.AllowN(time.Now(), len(outgoing.Data)) {
			t.dropped.Add(1)
			continue
		}
		// An error counts as a loss: the receiver does not answer.
		t.socket.WriteToUDPAddrPort(outgoing.Data, outgoing.To)
	}
	for _, change := range actions.Changes {
		slog.Info("member", "name", change.Name, "life", change.Incarnation, "state", change.State.String(), "why", change.Reason)
		t.logEvent(map[string]any{"member": change.Name, "of": change.Incarnation, "state": change.State.String(), "why": change.Reason})
	}
	for _, notice := range actions.Notices {
		slog.Warn("membership", "kind", notice.Kind, "text", notice.Text)
		t.logEvent(map[string]any{"notice": notice.Kind, "text": notice.Text})
	}
	if v := actions.View; v != nil {
		slog.Info("view", "view", v.ViewID.String(), "members", len(v.Members))
		if t.events != nil {
			ids := make([]string, len(v.Members))
			for i, m := range v.Members {
				ids[i] = fmt.Sprintf("%s.%d", m.Name, m.Incarnation)
			}
			t.logEvent(map[string]any{"view": v.Number, "epoch": v.Epoch, "fleet": v.FleetID, "digest": fmt.Sprintf("%016x", v.Digest), "members": ids})
		}
	}
	if len(actions.Changes) > 0 || actions.View != nil {
		t.updateKnownAddresses()
	}
	return max(actions.Next-t.now(), time.Millisecond)
}

// logEvent writes a line to the operator's event log.
func (t *Transport) logEvent(line map[string]any) {
	line["life"] = t.machine.Incarnation()
	t.events.Write(line)
}

// updateKnownAddresses passes the addresses of known senders to the reading goroutine.
func (t *Transport) updateKnownAddresses() {
	known := t.machine.Addresses()
	t.knownAddresses.Store(&known)
}

// read reads datagrams from the socket until it closes. Above PeerDatagramsPerSecond it pauses, and the kernel's
// receive buffer drops the excess at no cost to this process.
func (t *Transport) read(ctx context.Context) {
	allSenders := rate.NewLimiter(rate.Limit(t.limits.PeerDatagramsPerSecond), t.limits.PeerDatagramsPerSecond/10)
	unknownSenders := rate.NewLimiter(rate.Limit(t.limits.UnknownPeerDatagramsPerSecond), t.limits.UnknownPeerDatagramsPerSecond)
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	for {
		n, from, err := t.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil { // some systems report here that no process listens on the port of a sent datagram
			continue
		}
		if allSenders.Wait(ctx) != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !(*t.knownAddresses.Load())[from] && !unknownSenders.Allow() {
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

// call runs f on Run's goroutine and reports whether it did. It did not if Run or ctx ended first.
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

// Status returns the current status. ok is false if Run or ctx has ended.
func (t *Transport) Status(ctx context.Context) (s Status, ok bool) {
	ok = t.call(ctx, func() {
		v := t.machine.View()
		s = Status{Name: t.machine.Name(), Incarnation: t.machine.Incarnation(), View: v.ViewID.String(), ViewNumber: v.Number, ViewSize: len(v.Members), Quorum: t.machine.Quorum(),
			Joined: t.machine.Joined(), Health: t.machine.Health(), Members: t.machine.Members(), Counters: t.machine.Counters, Dropped: t.dropped.Load()}
	})
	return s, ok
}

// View returns this member's current view, its incarnation, whether it is in the view, and whether it sees a majority
// of the view. All are zero if Run or ctx has ended.
func (t *Transport) View(ctx context.Context) (v membership.View, incarnation uint64, joined, quorum bool) {
	t.call(ctx, func() {
		v, incarnation, joined, quorum = t.machine.View(), t.machine.Incarnation(), t.machine.Joined(), t.machine.Quorum()
	})
	return v, incarnation, joined, quorum
}

// AnnounceDraining publishes to the other members that this dispatcher is draining.
func (t *Transport) AnnounceDraining(ctx context.Context) {
	t.call(ctx, func() {
		t.handle(membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{Weight: float32(t.config.Weight), Version: t.config.Version, Draining: true}})
	})
}

// Leave announces to the other members that this one leaves. It returns after PeerLeaveTimeout, so that the news can
// spread, or when ctx ends.
func (t *Transport) Leave(ctx context.Context) {
	if !t.call(ctx, func() { t.handle(membership.Event{Kind: membership.Leave}) }) {
		return
	}
	for range 4 { // the machine still answers while it leaves
		select {
		case <-ctx.Done():
			return
		case <-time.After(t.limits.PeerLeaveTimeout / 4):
			t.call(ctx, func() { t.handle(membership.Event{Kind: membership.Tick}) })
		}
	}
}
