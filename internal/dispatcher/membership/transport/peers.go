// Package transport carries the membership over UDP. One goroutine owns the state
// machine, its clock and its socket's sending side; another reads datagrams and
// drops at once what comes from nobody known, beyond a small budget. It writes the
// operator's record of events and answers what the state is. It must never decide
// who is there (internal/membership does), send anything on behalf of a job, or
// let a flood of datagrams cost more than its limits say.
package transport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/membership"
)

// Status is what an operator is shown. Its JSON form is that of GET /members.
type Status struct {
	Name    string                    `json:"name"`
	Life    uint64                    `json:"life"`
	View    string                    `json:"view"`
	Number  uint64                    `json:"view_number"`
	Size    int                       `json:"view_members"`
	Quorum  bool                      `json:"quorum"` // this side has a majority of the view
	Joined  bool                      `json:"joined"`
	Health  int                       `json:"health"` // 0 is well; each step makes its accusations wait longer
	Members []membership.MemberStatus `json:"members"`
	Counts  membership.Counters       `json:"counters"`
	Dropped uint64                    `json:"dropped"` // datagrams read and not taken in: strangers' beyond the budget, and overflow
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

// Peers is the carrier. Make it with New, then Run it.
type Peers struct {
	conf    *config.Membership
	lim     config.Limits
	socket  *net.UDPConn
	machine *membership.Machine
	birth   time.Time
	mail    chan datagram
	do      chan func()
	over    chan struct{}
	known   atomic.Pointer[map[netip.AddrPort]bool]
	out     *rate.Limiter // bytes
	dropped atomic.Uint64
	record  *Record
}

// New opens the socket and makes the machine.
func New(n *config.Node) (*Peers, error) {
	c := n.Membership
	p := &Peers{conf: c, lim: n.Limits, birth: time.Now(), mail: make(chan datagram, n.Limits.QueuedPeerDatagrams), do: make(chan func()),
		over: make(chan struct{}), out: rate.NewLimiter(rate.Limit(n.Limits.PeerBytesPerSecond), n.Limits.PeerBytesPerSecond)}
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
	if p.machine, err = membership.New(conf, p.now()); err != nil {
		return nil, fmt.Errorf("%s: %w", c.Path, err)
	}
	if c.Events != "" {
		if p.record, err = OpenRecord(c.Events); err != nil {
			return nil, fmt.Errorf("%s: key members.events: %w", c.Path, err)
		}
	}
	if p.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen)); err != nil {
		return nil, fmt.Errorf("%s: key members.listen: %w", c.Path, err)
	}
	p.note(map[string]any{"start": conf.Incarnation, "name": n.Name})
	p.recognise()
	return p, nil
}

// now is the machine's clock: monotonic.
func (p *Peers) now() time.Duration { return time.Hour + time.Since(p.birth) }

// Run carries until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	defer close(p.over)
	stop := context.AfterFunc(ctx, func() { p.socket.Close() })
	defer stop()
	go p.read(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev membership.Event
		select {
		case <-ctx.Done():
			return
		case f := <-p.do:
			f()
			continue
		case d := <-p.mail:
			ev = membership.Event{Kind: membership.DatagramReceived, From: d.from, Data: d.data}
		case <-timer.C:
			ev = membership.Event{Kind: membership.Tick}
		}
		timer.Reset(p.handle(ev))
	}
}

// handle gives the machine one event and carries out what follows; it tells when the next one is due at the latest.
func (p *Peers) handle(ev membership.Event) time.Duration {
	acts := p.machine.Handle(p.now(), ev)
	for _, o := range acts.Send {
		if !p.out.AllowN(time.Now(), len(o.Data)) { // as good as lost on the way: the machine bears that
			p.dropped.Add(1)
			continue
		}
		p.socket.WriteToUDPAddrPort(o.Data, o.To) // an error is a loss, too: whoever it was for does not answer
	}
	for _, c := range acts.Changes {
		slog.Info("member", "name", c.Name, "life", c.Incarnation, "state", c.State.String(), "why", c.Reason)
		p.note(map[string]any{"member": c.Name, "of": c.Incarnation, "state": c.State.String(), "why": c.Reason})
	}
	for _, n := range acts.Notices {
		slog.Warn("membership", "kind", n.Kind, "text", n.Text)
		p.note(map[string]any{"notice": n.Kind, "text": n.Text})
	}
	if v := acts.View; v != nil {
		slog.Info("view", "view", v.ViewID.String(), "members", len(v.Members))
		if p.record != nil {
			ids := make([]string, len(v.Members))
			for i, m := range v.Members {
				ids[i] = fmt.Sprintf("%s.%d", m.Name, m.Incarnation)
			}
			p.note(map[string]any{"view": v.Number, "epoch": v.Epoch, "fleet": v.FleetID, "digest": fmt.Sprintf("%016x", v.Digest), "members": ids})
		}
	}
	if len(acts.Changes) > 0 || acts.View != nil {
		p.recognise()
	}
	return max(acts.Next-p.now(), time.Millisecond)
}

// note writes a line of the operator's record.
func (p *Peers) note(line map[string]any) {
	line["life"] = p.machine.Incarnation()
	p.record.Note(line)
}

// Record is a file that gets a JSON line for each event, whole and in order. A nil one takes nothing.
type Record struct{ file *os.File }

// OpenRecord goes on with a file, or begins it.
func OpenRecord(path string) (*Record, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Record{f}, nil
}

// Note writes a line, with the time. After a line that cannot be written there are no more.
func (r *Record) Note(line map[string]any) {
	if r == nil || r.file == nil {
		return
	}
	line["at"] = time.Now().UnixNano()
	text, err := json.Marshal(line)
	if err == nil {
		_, err = r.file.Write(append(text, '\n'))
	}
	if err != nil {
		slog.Error("a record ends here", "file", r.file.Name(), "error", err)
		r.file.Close()
		r.file = nil
	}
}

// recognise tells the reader whose datagrams are not strangers'.
func (p *Peers) recognise() {
	known := p.machine.Addresses()
	p.known.Store(&known)
}

// read takes datagrams off the socket. Beyond a number a second it stops reading for a moment, and the machine's own
// buffers drop the rest at no cost here.
func (p *Peers) read(ctx context.Context) {
	all := rate.NewLimiter(rate.Limit(p.lim.PeerDatagramsPerSecond), p.lim.PeerDatagramsPerSecond/10)
	strangers := rate.NewLimiter(rate.Limit(p.lim.UnknownPeerDatagramsPerSecond), p.lim.UnknownPeerDatagramsPerSecond)
	buffer := make([]byte, membership.MaxDatagramBytes+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil { // a refusal of somebody who is gone comes in here on some systems
			continue
		}
		if all.Wait(ctx) != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if !(*p.known.Load())[from] && !strangers.Allow() {
			p.dropped.Add(1)
			continue
		}
		select {
		case p.mail <- datagram{from, append([]byte(nil), buffer[:n]...)}:
		default:
			p.dropped.Add(1)
		}
	}
}

// call does something on the goroutine that owns the machine; it tells whether that still runs.
func (p *Peers) call(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case p.do <- func() { f(); close(done) }:
		<-done
		return true
	case <-p.over:
	case <-ctx.Done():
	}
	return false
}

// Status tells what the state is.
func (p *Peers) Status(ctx context.Context) (s Status, ok bool) {
	ok = p.call(ctx, func() {
		v := p.machine.View()
		s = Status{Name: p.machine.Name(), Life: p.machine.Incarnation(), View: v.ViewID.String(), Number: v.Number, Size: len(v.Members), Quorum: p.machine.Quorum(),
			Joined: p.machine.Joined(), Health: p.machine.Health(), Members: p.machine.Members(), Counts: p.machine.Counters, Dropped: p.dropped.Load()}
	})
	return s, ok
}

// View is the last view of this member, its own life, whether it is in a view, and whether its side has a majority.
func (p *Peers) View(ctx context.Context) (v membership.View, life uint64, joined, quorum bool) {
	p.call(ctx, func() {
		v, life, joined, quorum = p.machine.View(), p.machine.Incarnation(), p.machine.Joined(), p.machine.Quorum()
	})
	return v, life, joined, quorum
}

// Draining lets the others read that this dispatcher is on its way out.
func (p *Peers) Draining(ctx context.Context) {
	p.call(ctx, func() {
		p.handle(membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{Weight: float32(p.conf.Weight), Version: p.conf.Version, Draining: true}})
	})
}

// Leave tells the others, and gives that the time to get about.
func (p *Peers) Leave(ctx context.Context) {
	if !p.call(ctx, func() { p.handle(membership.Event{Kind: membership.Leave}) }) {
		return
	}
	for range 4 { // the machine goes on answering while it leaves
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.lim.PeerLeaveTimeout / 4):
			p.call(ctx, func() { p.handle(membership.Event{Kind: membership.Tick}) })
		}
	}
}
