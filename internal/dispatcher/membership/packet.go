// The datagrams of the membership: a version byte, then a CBOR array (RFC 8949). A datagram that is too long, of another
// version or torn is rejected, and each is read once.

package membership

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes is the most bytes that a datagram may have, as the second deployment's protocol page has it.
const MaxDatagramBytes = 256

const (
	formatVersion   = 1
	maxNameBytes    = 24 // bytes of a name
	maxZoneBytes    = 16
	maxVersionBytes = 12 // of a version
)

// Metadata are what a member lets the others read.
type Metadata struct {
	_        struct{} `cbor:",toarray"`
	Weight   float32  // how much it carries, in a unit of the user's own
	Draining bool     // it is on its way out and takes nothing new
	Version  string   // of its program, 12 bytes at most
}

// Record is a member as it describes itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64 // a later start has a larger number
	Revision    uint32 // raised by the member alone, with each thing it says anew of itself
	Zone        string
	Address     []byte // address and port
	Metadata    Metadata
}

// AddrPort is where the member is reached.
func (r *Record) AddrPort() netip.AddrPort {
	var a netip.AddrPort
	if a.UnmarshalBinary(r.Address) != nil {
		return netip.AddrPort{}
	}
	return a
}

// check tells what a record may not be.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameBytes:
		return fmt.Errorf("name %q: 1 to %d bytes are right", r.Name, maxNameBytes)
	case len(r.Zone) > maxZoneBytes:
		return fmt.Errorf("zone %q: %d bytes at most are right", r.Zone, maxZoneBytes)
	case len(r.Metadata.Version) > maxVersionBytes:
		return fmt.Errorf("version %q: %d bytes at most are right", r.Metadata.Version, maxVersionBytes)
	case r.Metadata.Weight < 0 || math.IsNaN(float64(r.Metadata.Weight)) || math.IsInf(float64(r.Metadata.Weight), 0):
		return fmt.Errorf("weight %v: 0 or more is right", r.Metadata.Weight)
	case r.Incarnation == 0:
		return errors.New("life 0: 1 or more is right")
	case !r.AddrPort().IsValid():
		return errors.New("address: none that can be read")
	}
	return nil
}

// ViewID names a view. Of two views the one with the later epoch, then the larger number, is the later one.
type ViewID struct {
	_       struct{} `cbor:",toarray"`
	FleetID uint32   // how it was founded: by whose start, or of which members that were left
	Epoch   uint32   // goes up where members without a memory made up the majority and founded it anew
	Number  uint64
	Digest  uint64 // of the members
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
	fmt.Fprintf(h, "%d.%d.%d", id.FleetID, id.Epoch, id.Number)
	for i := range members {
		fmt.Fprintf(h, "/%s.%d", members[i].Name, members[i].Incarnation)
	}
	return h.Sum64()
}

type packetKind uint8

const (
	ping               packetKind = iota + 1 // Seq: answer me
	ack                                      // Seq of the ping; For where it answers for somebody that a relay reached
	pingRequest                              // Seq, For: ping that member for me
	investigateRequest                       // For, ForLife, ForNews: it does not answer me; you are of its jury
	suspicionNotice                          // the same, Num: milliseconds that it has not answered a juror
	join                                     // Body: a record; I want to be a member, or say what is new of me
	incarnationEnded                         // For, ForLife: that life has ended
	viewRequest                              // Seq: send me your view from that member on, or what leads there from mine
	viewChunk                                // Seq, Num, Body: records of the view from place Seq on, of Num
	prepare                                  // Seq: a ballot for the view after View
	promise                                  // Seq; Num and Body: ballot and change accepted before
	accept                                   // Seq, Body: a ballot and its change
	accepted                                 // Seq
	veto                                     // Seq, For, ForLife: that member is there, I hear it
	commit                                   // Body: the change after View; Num: 1 where it opens an epoch
	packetKindCount
)

// packet is one datagram. View is the sender's, but for a commit, where it is the one that the change applies to.
type packet struct {
	_                  struct{} `cbor:",toarray"`
	Kind               packetKind
	From               string
	Incarnation        uint64
	Revision           uint32
	View               ViewID
	Sequence           uint32
	Subject            string
	SubjectIncarnation uint64
	SubjectRevision    uint32
	Number             uint32
	Body               []byte
	Rumors             []cbor.RawMessage
}

// rumor is what members pass on of others. Of the states only Alive, Suspect and Left are passed on; who has failed
// is what a view says.
type rumor struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Incarnation     uint64
	Revision        uint32
	State           State
	SuspectedBy     string  // Suspect: who accuses
	AgeMilliseconds uint32  // Suspect: for how long by now
	Record          *Record // Alive: the whole record
}

// change leads from a view to the next one: ranges of places that have failed, and that have left, and records that come.
type change struct {
	_      struct{} `cbor:",toarray"`
	Failed [][2]uint32
	Left   [][2]uint32
	In     []Record
}

// isEmpty tells whether the change changes nothing.
func (c *change) isEmpty() bool { return len(c.Failed)+len(c.Left)+len(c.In) == 0 }

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

func encodeCBOR(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // plain structs of this file, always writable
	}
	return b
}

var errMalformed = errors.New("not a datagram of this version")

// decodePacket takes a datagram apart; everything in it has been checked but for what only the table can tell.
func decodePacket(b []byte) (*packet, error) {
	if len(b) < 2 || len(b) > MaxDatagramBytes || b[0] != formatVersion {
		return nil, errMalformed
	}
	p := new(packet)
	if err := decoder.Unmarshal(b[1:], p); err != nil {
		return nil, err
	}
	if p.Kind == 0 || p.Kind >= packetKindCount || p.From == "" || len(p.From) > maxNameBytes || len(p.Subject) > maxNameBytes || p.Incarnation == 0 {
		return nil, errMalformed
	}
	return p, nil
}

func decodeRumor(b []byte) (*rumor, error) {
	r := new(rumor)
	if err := decoder.Unmarshal(b, r); err != nil {
		return nil, err
	}
	if r.Name == "" || len(r.Name) > maxNameBytes || len(r.SuspectedBy) > maxNameBytes || r.Incarnation == 0 ||
		r.State != Alive && r.State != Suspected && r.State != Left ||
		r.Record != nil && (r.Record.check() != nil || r.Record.Name != r.Name || r.Record.Incarnation != r.Incarnation) {
		return nil, errMalformed
	}
	return r, nil
}

func decodeRecords(b []byte) (out []Record, err error) {
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

func decodeChange(b []byte) (*change, error) {
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
