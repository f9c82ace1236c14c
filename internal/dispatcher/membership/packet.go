// The format of datagrams: a version byte, then a CBOR array (RFC 8949). A datagram that is too long, truncated or of
// another version is rejected.

package membership

import (
	"errors"
	"fmt"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxDatagramBytes is the maximum size of a datagram, in bytes. The second deployment's protocol page sets it.
const MaxDatagramBytes = 256

const (
	formatVersion   = 1
	maxNameBytes    = 24
	maxZoneBytes    = 16
	maxVersionBytes = 12
)

// Metadata is what a member publishes to the others.
type Metadata struct {
	_        struct{} `cbor:",toarray"`
	Weight   float32  // capacity, in a unit that the user chooses
	Draining bool     // it is shutting down and accepts no new work
	Version  string   // of its program, at most 12 bytes
}

// Record is a member as it describes itself.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64 // a later start has a larger number
	Revision    uint32 // raised only by the member itself, with each change of its record and each refutation
	Zone        string
	Address     []byte // IP address and port, as of netip.AddrPort.MarshalBinary
	Metadata    Metadata
}

// AddrPort returns the address of the member, or an invalid one if it cannot be decoded.
func (r *Record) AddrPort() netip.AddrPort {
	var a netip.AddrPort
	if a.UnmarshalBinary(r.Address) != nil {
		return netip.AddrPort{}
	}
	return a
}

// check returns an error if a field of the record is out of range.
func (r *Record) check() error {
	switch {
	case r.Name == "" || len(r.Name) > maxNameBytes:
		return fmt.Errorf("name %q must have 1 to %d bytes", r.Name, maxNameBytes)
	case len(r.Zone) > maxZoneBytes:
		return fmt.Errorf("zone %q must have at most %d bytes", r.Zone, maxZoneBytes)
	case len(r.Metadata.Version) > maxVersionBytes:
		return fmt.Errorf("version %q must have at most %d bytes", r.Metadata.Version, maxVersionBytes)
	case r.Metadata.Weight < 0 || math.IsNaN(float64(r.Metadata.Weight)) || math.IsInf(float64(r.Metadata.Weight), 0):
		return fmt.Errorf("weight %v must be finite and not negative", r.Metadata.Weight)
	case r.Incarnation == 0:
		return errors.New("incarnation must not be 0")
	case !r.AddrPort().IsValid():
		return errors.New("address cannot be decoded")
	}
	return nil
}

// ViewID identifies a view. Of two views, the one with the larger epoch, then the larger number, is the later one.
type ViewID struct {
	_       struct{} `cbor:",toarray"`
	FleetID uint32   // hash of the member that founded the fleet, or of the members that founded it anew
	// Epoch is raised when a majority that includes restarted members, without their earlier state, founds the fleet
	// anew.
	Epoch  uint32
	Number uint64
	Digest uint64 // hash of the ID and the members
}

// After reports whether v is a later view than w. Views with equal numbers and different digests are ordered by digest:
// one of the two sides has lost its state, and all members have to end with the same view.
func (v ViewID) After(w ViewID) bool {
	switch {
	case v.Epoch != w.Epoch:
		return v.Epoch > w.Epoch
	case v.Number != w.Number:
		return v.Number > w.Number
	}
	return v.Digest > w.Digest
}

// String returns the view's epoch and number with the lower half of its digest.
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
	// Sequence; Subject: the member that is to answer.
	ping packetKind = iota + 1
	// Sequence of the ping; Subject: the member that a relay reached, empty in a direct answer.
	ack
	// Sequence, Subject: asks a relay to ping the subject.
	pingRequest
	// Subject: the subject does not answer the sender; goes to its observers.
	investigateRequest
	// Subject, Number: milliseconds for which the subject has not answered the sender, an observer.
	suspicionNotice
	// Body: the record of a member that joins or announces itself; Sequence: 0 if it is to be passed on.
	join
	// Subject: the subject's incarnation has ended; Number: 1 if a later one runs at another address.
	incarnationEnded
	// Sequence: asks for the receiver's view from that index on, or for the changes that lead there from View.
	viewRequest
	// Body: records of the view from index Sequence on; Number: the view's size.
	viewChunk
	// Sequence: a ballot for the view after View.
	prepare
	// Sequence: the ballot; Number, Body: ballot and change that the sender accepted before.
	promise
	// Sequence, Body: a ballot and its change; Number: 1 if the change may be committed already.
	accept
	// Sequence: the ballot.
	accepted
	// Sequence: the ballot; Subject: a member that the ballot would remove and that answers the sender.
	veto
	// Body: the change that follows View; Number: 1 if it begins an epoch.
	commit
	packetKindCount
)

// packet is the content of a datagram. View is the sender's view, or in a commit the view that the change applies to. A
// packet with a Subject has the subject's incarnation in SubjectIncarnation, and in SubjectRevision its revision as far
// as the kind needs it.
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

// rumor is news about a member that members pass on. Only the states Alive, Suspected and Left are passed on. Members
// learn of failures only from views.
type rumor struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Incarnation     uint64
	Revision        uint32
	State           State
	SuspectedBy     string  // in Suspected: the name of the member that suspects it
	AgeMilliseconds uint32  // in Suspected: time since the suspicion began
	Record          *Record // in Alive: the whole record, if the rumor announces one
}

// change leads from a view to the next one. Failed and Left are inclusive ranges of indexes in the view of members to
// remove, and Joined has the records of the members to add.
type change struct {
	_      struct{} `cbor:",toarray"`
	Failed [][2]uint32
	Left   [][2]uint32
	Joined []Record
}

// isEmpty reports whether the change neither removes nor adds a member.
func (c *change) isEmpty() bool { return len(c.Failed)+len(c.Left)+len(c.Joined) == 0 }

var (
	encoder = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err) // the options are constant
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
		panic(err) // the structs of this file can always be encoded
	}
	return b
}

var errMalformed = errors.New("not a datagram of this version")

// decodePacket decodes a datagram and checks the fields of its packet that need no knowledge of members. It leaves Body
// and Rumors encoded.
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
	for i := range c.Joined {
		if err := c.Joined[i].check(); err != nil {
			return nil, err
		}
	}
	return c, nil
}
