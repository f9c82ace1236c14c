package membership

// Born puts a member into a view that stands from the start: for plays of sizes whose growth is not the question.
func (m *Machine) Born(v *View) {
	m.adopt(v, "", false)
}

// Viewed makes a first view of some records.
func Viewed(members []Record) *View {
	v := &View{ViewID: ViewID{Fleet: 1, Epoch: 1, Number: 1}, Members: members}
	v.Digest = digest(v.ViewID, members)
	return v
}
