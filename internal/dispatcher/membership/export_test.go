package membership

import "github.com/fxamacker/cbor/v2"

// InstallFirstView installs the first view of a member, for simulations at sizes whose growth is not tested.
func (m *Machine) InstallFirstView(v *View) {
	m.installView(v, "", false)
}

// NewFirstView returns a first view of some records.
func NewFirstView(members []Record) *View {
	v := &View{ViewID: ViewID{FleetID: 1, Epoch: 1, Number: 1}, Members: members}
	v.Digest = digest(v.ViewID, members)
	return v
}

// EncodeRumorPing returns a ping of a member that carries a rumor about another member.
func EncodeRumorPing(from string, incarnation uint64, id ViewID, name string, subjectIncarnation uint64, revision uint32, state State) []byte {
	r := encodeCBOR(rumor{Name: name, Incarnation: subjectIncarnation, Revision: revision, State: state, SuspectedBy: from})
	return append([]byte{formatVersion}, encodeCBOR(packet{Kind: ping, From: from, Incarnation: incarnation, View: id, Sequence: 1, Rumors: []cbor.RawMessage{r}})...)
}
