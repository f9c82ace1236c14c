// What goes into the machine and what comes out: settings, events, actions, counters.

package membership

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// State is what a member is taken for.
type State uint8

// The states. Unknown is not failed: nobody could reach it, and too few could say so together.
const (
	Alive State = iota + 1
	Suspected
	Unknown
	Left
	Failed
)

// String returns the name of the value.
func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "unknown", "left", "failed"}[min(s, Failed)]
}

// Config is what a member is told. Times that are 0 get the default that Fill gives.
type Config struct {
	Name        string
	Zone        string
	Address     netip.AddrPort // where the others reach it
	Incarnation uint64         // of this start; larger than that of any earlier one under this name
	Metadata    Metadata
	Seeds       []netip.AddrPort // whom to ask for the way in
	// Book has the addresses at which this member reaches the others, by name, where those that they tell of themselves
	// are not valid here. nil: what they tell.
	AddressBook map[string]netip.AddrPort
	// Learn takes the address from which a member was heard for its own, if it is one of the seeds: where each member has
	// addresses of its own for the others, and no names to them.
	LearnAddresses bool
	Seed           uint64 // of its random numbers

	Period           time.Duration // between two probes
	FailureTimeout   time.Duration // a member may be silent for so long before its jury may say that it has failed
	ObserverCount    int           // members that look into an accusation
	BootstrapTimeout time.Duration // so long a member looks for others before it founds a fleet of its own
	BatchDelay       time.Duration // a change waits so long at most for others that are about to be ripe
	History          int           // changes kept for members that are behind
}

// SetDefaults puts the defaults in, and tells what cannot work.
func (c *Config) SetDefaults() error {
	for _, f := range []struct {
		to   *time.Duration
		v    time.Duration
		name string
	}{{&c.Period, 500 * time.Millisecond, "period"}, {&c.FailureTimeout, 3 * time.Second, "bear"}, {&c.BootstrapTimeout, 2 * time.Second, "found"},
		{&c.BatchDelay, 3 * time.Second, "hold"}} {
		if *f.to = cmp.Or(*f.to, f.v); *f.to < 10*time.Millisecond || *f.to > 10*time.Minute {
			return fmt.Errorf("membership: %s: %v is not in 10ms to 10m", f.name, *f.to)
		}
	}
	c.ObserverCount, c.History = cmp.Or(c.ObserverCount, 7), cmp.Or(c.History, 16)
	if c.ObserverCount < 1 || c.History < 1 {
		return errors.New("membership: jury and history are 1 or more")
	}
	return nil
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	Tick             EventKind = iota + 1 // only the time
	DatagramReceived                      // From, Data: a datagram
	MetadataChanged                       // Facts: what the others may read from now on
	Leave                                 // this member goes
)

// Event is one thing that happened.
type Event struct {
	Kind     EventKind
	From     netip.AddrPort
	Data     []byte
	Metadata Metadata
}

// OutgoingDatagram is a datagram to be sent.
type OutgoingDatagram struct {
	To   netip.AddrPort
	Data []byte
}

// Change is a member that is taken for something else than before.
type Change struct {
	Name        string
	Incarnation uint64
	State       State
	Reason      string // whose accusation, or what else led to it
	Joined      bool   // it is new here
}

// Notice is something that this member's operator should know of.
type Notice struct {
	Kind string // paused, twice, superseded, expelled, founded, adopted
	Text string
}

// Actions are what follows from an event, in order. They are valid until the next call.
type Actions struct {
	Send    []OutgoingDatagram
	Changes []Change
	Notices []Notice
	View    *View         // the new view, if there is one
	Next    time.Duration // when to call again at the latest, by the clock of the events
}

// Counters only grow.
type Counters struct {
	Sent       uint64 `json:"sent"` // datagrams
	SentBytes  uint64 `json:"sent_bytes"`
	Received   uint64 `json:"heard"`
	Malformed  uint64 `json:"foreign"` // torn, of another version, or with what cannot be
	Refuted    uint64 `json:"refuted"` // accusations of this member
	Suspicions uint64 `json:"accused"` // its own
	Pauses     uint64 `json:"pauses"`
	Conflicts  uint64 `json:"conflicts"` // its name was used elsewhere
}
