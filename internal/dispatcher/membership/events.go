// The machine's input and output: its configuration, events, actions and counters.

package membership

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// State is the state of a member as another member sees it.
type State uint8

// The states. A suspected member becomes Unknown if no member reaches it and the view does not remove it, because too
// few observers could report it.
const (
	Alive State = iota + 1
	Suspected
	Unknown
	Left
	Failed
)

// String returns the state's name in logs and in the JSON form of MemberStatus; the zero value is "none".
func (s State) String() string {
	return [...]string{"none", "alive", "suspect", "unknown", "left", "failed"}[min(s, Failed)]
}

// Config configures a member. SetDefaults replaces durations and counts that are 0.
type Config struct {
	Name        string
	Zone        string
	Address     netip.AddrPort // at which the other members reach this one
	Incarnation uint64         // of this start; larger than that of any earlier start under this name
	Metadata    Metadata
	Seeds       []netip.AddrPort // addresses at which to join
	// AddressBook has the addresses at which this member reaches the others, by name. It overrides the addresses in
	// their records, for networks in which those addresses are not reachable from this member.
	AddressBook map[string]netip.AddrPort
	// LearnAddresses takes the source address of a member's datagrams as the member's address, if it is one of Seeds.
	// It serves networks in which each member reaches the others at different addresses and has no names for them.
	LearnAddresses bool
	Seed           uint64 // of the random number generator

	Period           time.Duration // between two probes
	FailureTimeout   time.Duration // time without an answer after which observers may report a member as failed
	ObserverCount    int           // members that investigate a suspicion
	BootstrapTimeout time.Duration // search for others before the member founds a fleet of its own
	BatchDelay       time.Duration // maximum wait of a removal for members that are about to fail
	History          int           // changes kept for members with an older view
}

// SetDefaults replaces zero values by the defaults. It returns an error if a value is out of range.
func (c *Config) SetDefaults() error {
	for _, f := range []struct {
		to   *time.Duration
		v    time.Duration
		name string
	}{{&c.Period, 500 * time.Millisecond, "period"}, {&c.FailureTimeout, 3 * time.Second, "bear"}, {&c.BootstrapTimeout, 2 * time.Second, "found"},
		{&c.BatchDelay, 3 * time.Second, "hold"}} {
		if *f.to = cmp.Or(*f.to, f.v); *f.to < 10*time.Millisecond || *f.to > 10*time.Minute {
			return fmt.Errorf("membership: %s: %v is not between 10ms and 10m", f.name, *f.to)
		}
	}
	c.ObserverCount, c.History = cmp.Or(c.ObserverCount, 7), cmp.Or(c.History, 16)
	if c.ObserverCount < 1 || c.History < 1 {
		return errors.New("membership: the observer count and the history must be at least 1")
	}
	return nil
}

// EventKind is the kind of an Event. It determines which fields of the Event are set.
type EventKind uint8

// Kinds of input that the machine handles.
const (
	Tick             EventKind = iota + 1 // time has passed; no field is set
	DatagramReceived                      // From, Data: the sender and the datagram
	MetadataChanged                       // Metadata: this member's new metadata
	Leave                                 // this member leaves
)

// Event is one input of the machine.
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

// Change is a change of a member's state.
type Change struct {
	Name        string
	Incarnation uint64
	State       State
	Reason      string // what caused the change, for operators
	IsNew       bool   // the member was not known before
}

// Notice is a message to this member's operator.
type Notice struct {
	Kind string // paused, twice, superseded, expelled, founded, adopted
	Text string
}

// Actions are what the caller has to carry out after an event. They are valid until the next call of Handle.
type Actions struct {
	Send    []OutgoingDatagram
	Changes []Change
	Notices []Notice
	View    *View         // the new view, if there is one
	Next    time.Duration // latest time of the next call, by the clock of the events
}

// Counters count what a member has done since its start. They only grow.
type Counters struct {
	Sent       uint64 `json:"sent"` // datagrams
	SentBytes  uint64 `json:"sent_bytes"`
	Received   uint64 `json:"heard"`
	Malformed  uint64 `json:"foreign"`   // truncated, of another version, or with invalid values
	Refuted    uint64 `json:"refuted"`   // suspicions of this member that it refuted
	Suspicions uint64 `json:"accused"`   // suspicions that this member started
	Pauses     uint64 `json:"pauses"`    // times that this process was found to have been paused
	Conflicts  uint64 `json:"conflicts"` // other processes found to use this member's name
}
