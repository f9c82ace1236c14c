// The datagrams of the membership: what stands in them, how they are written and
// how they are read. This file owns the one encoding (a version byte, then CBOR)
// and its bounds. It must never accept a datagram that is longer, older, foreign or
// torn, and never spend more on one than reading it once.

package membership

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Datagram is the most bytes that a datagram may have, as the second deployment's protocol page has it.
const Datagram = 256

const (
	version  = 1
	mostName = 24 // bytes of a name
	mostZone = 16
	mostWord = 12 // of a version
)

// Facts are what a member lets the others read.
type Facts struct {
	_        struct{} `cbor:",toarray"`
	Weight   float32  // how much it carries, in a unit of the user's own
	Draining bool     // it is on its way out and takes nothing new
	Version  string   // of its program, 12 bytes at most
}

// Record is a member as it describes itself.
type Record struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Life  uint64 // a later start has a larger number
	News  uint32 // raised by the member alone, with each thing it says anew of itself
	Zone  string
	At    []byte // address and port
	Facts Facts
}

// Addr is where the member is reached.
func (r *Record) Addr() netip.AddrPort {
	var a netip.AddrPort
	if a.UnmarshalBinary(r.At) != nil {
		return netip.AddrPort{}
	}
	return a
}

// check tells what a record may not be.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > mostName:
		return fmt.Errorf("name %q: 1 to %d bytes are right", r.Name, mostName)
	case len(r.Zone) > mostZone:
		return fmt.Errorf("zone %q: %d bytes at most are right", r.Zone, mostZone)
	case len(r.Facts.Version) > mostWord:
		return fmt.Errorf("version %q: %d bytes at most are right", r.Facts.Version, mostWord)
	case r.Facts.Weight < 0 || math.IsNaN(float64(r.Facts.Weight)) || math.IsInf(float64(r.Facts.Weight), 0):
		return fmt.Errorf("weight %v: 0 or more is right", r.Facts.Weight)
	case r.Life == 0:
		return errors.New("life 0: 1 or more is right")
	case !r.Addr().IsValid():
		return errors.New("address: none that can be read")
	}
	return nil
}

// ViewID names a view. Of two views the one with the later epoch, then the larger number, is the later one.
type ViewID struct {
	_      struct{} `cbor:",toarray"`
	Fleet  uint32   // how it was founded: by whose start, or of which members that were left
	Epoch  uint32   // goes up where members without a memory made up the majority and founded it anew
	Number uint64
	Digest uint64 // of the members
}

// After tells whether v is a later view than w. Equal numbers with other digests are told apart by these: one of
// the two sides lost its memory, and all must end with the same one.
func (v ViewID) After(w ViewID) bool {
	switch {
	case v.Epoch != w.Epoch:
		return v.Epoch > w.Epoch
	case v.Number != w.Number:
		return v.Number > w.Number
	}
	return v.Digest > w.Digest
}

// String returns the view's number with its hash.
func (v ViewID) String() string {
	return fmt.Sprintf("%d.%d-%08x", v.Epoch, v.Number, uint32(v.Digest))
}

func digest(id ViewID, members []Record) uint64 {
	h := xxhash.New()
	fmt.Fprintf(h, "%d.%d.%d", id.Fleet, id.Epoch, id.Number)
	for i := range members {
		fmt.Fprintf(h, "/%s.%d", members[i].Name, members[i].Life)
	}
	return h.Sum64()
}

type kind uint8

const (
	ping     kind = iota + 1 // Seq: answer me
	ack                      // Seq of the ping; For where it answers for somebody that a relay reached
	ask                      // Seq, For: ping that member for me
	inquire                  // For, ForLife, ForNews: it does not answer me; you are of its jury
	doubt                    // the same, Num: milliseconds that it has not answered a juror
	join                     // Body: a record; I want to be a member, or say what is new of me
	over                     // For, ForLife: that life has ended
	pull                     // Seq: send me your view from that member on, or what leads there from mine
	chunk                    // Seq, Num, Body: records of the view from place Seq on, of Num
	prepare                  // Seq: a ballot for the view after View
	promise                  // Seq; Num and Body: ballot and change accepted before
	accept                   // Seq, Body: a ballot and its change
	accepted                 // Seq
	veto                     // Seq, For, ForLife: that member is there, I hear it
	commit                   // Body: the change after View; Num: 1 where it opens an epoch
	kinds
)

// packet is one datagram. View is the sender's, but for a commit, where it is the one that the change applies to.
type packet struct {
	_       struct{} `cbor:",toarray"`
	Kind    kind
	From    string
	Life    uint64
	News    uint32
	View    ViewID
	Seq     uint32
	For     string
	ForLife uint64
	ForNews uint32
	Num     uint32
	Body    []byte
	Rumours []cbor.RawMessage
}

// rumour is what members pass on of others. Of the states only Alive, Suspect and Left are passed on; who has failed
// is what a view says.
type rumour struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Life  uint64
	News  uint32
	State State
	By    string  // Suspect: who accuses
	AgeMs uint32  // Suspect: for how long by now
	Whole *Record // Alive: the whole record
}

// change leads from a view to the next one: ranges of places that have failed, and that have left, and records that come.
type change struct {
	_    struct{} `cbor:",toarray"`
	Out  [][2]uint32
	Left [][2]uint32
	In   []Record
}

var (
	encoder = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // options that are fixed here
		}
		return m
	}()
	decoder = func() cbor.DecMode {
		m, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 16, MaxNestedLevels: 6, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

func encode(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // plain structs of this file, always writable
	}
	return b
}

var errForeign = errors.New("not a datagram of this version")

// read takes a datagram apart; everything in it has been checked but for what only the table can tell.
func read(b []byte) (*packet, error) {
	if len(b) < 2 || len(b) > Datagram || b[0] != version {
		return nil, errForeign
	}
	p := new(packet)
	if err := decoder.Unmarshal(b[1:], p); err != nil {
		return nil, err
	}
	if p.Kind == 0 || p.Kind >= kinds || p.From == "" || len(p.From) > mostName || len(p.For) > mostName || p.Life == 0 {
		return nil, errForeign
	}
	return p, nil
}

func readRumour(b []byte) (*rumour, error) {
	r := new(rumour)
	if err := decoder.Unmarshal(b, r); err != nil {
		return nil, err
	}
	if r.Name == "" || len(r.Name) > mostName || len(r.By) > mostName || r.Life == 0 ||
		r.State != Alive && r.State != Suspect && r.State != Left ||
		r.Whole != nil && (r.Whole.check() != nil || r.Whole.Name != r.Name || r.Whole.Life != r.Life) {
		return nil, errForeign
	}
	return r, nil
}

func readRecords(b []byte) (out []Record, err error) {
	if err = decoder.Unmarshal(b, &out); err != nil {
		return nil, err
	}
	for i := range out {
		if err := out[i].check(); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func readChange(b []byte) (*change, error) {
	c := new(change)
	if err := decoder.Unmarshal(b, c); err != nil {
		return nil, err
	}
	for i := range c.In {
		if err := c.In[i].check(); err != nil {
			return nil, err
		}
	}
	return c, nil
}
