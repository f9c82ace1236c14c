package membership

import "github.com/fxamacker/cbor/v2"

// Born puts a member into a view that stands from the start: for plays of sizes whose growth is not the question.
func (m *Machine) Born(v *View) {
	m.installView(v, "", false)
}

// Viewed makes a first view of some records.
func Viewed(members []Record) *View {
	v := &View{ViewID: ViewID{FleetID: 1, Epoch: 1, Number: 1}, Members: members}
	v.Digest = digest(v.ViewID, members)
	return v
}

// Forged is a datagram of a member that passes on something of another.
func Forged(from string, life uint64, id ViewID, name string, of uint64, news uint32, s State) []byte {
	r := encodeCBOR(rumor{Name: name, Incarnation: of, Revision: news, State: s, SuspectedBy: from})
	return append([]byte{formatVersion}, encodeCBOR(packet{Kind: ping, From: from, Incarnation: life, View: id, Sequence: 1, Rumors: []cbor.RawMessage{r}})...)
}
