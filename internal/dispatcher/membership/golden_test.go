package membership_test

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"testing"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// digestedMember hands every event to a member and digests the actions that it returns: datagrams by their bytes,
// changes, notices and views by their values.
type digestedMember struct {
	member simulation.Member
	digest hash.Hash
	events *int
}

// Handle implements simulation.Member.
func (d *digestedMember) Handle(now time.Duration, event membership.Event) *membership.Actions {
	actions := d.member.Handle(now, event)
	*d.events++
	d.number(uint64(now))
	for _, datagram := range actions.Send {
		d.text(datagram.To.String())
		d.text(string(datagram.Data))
	}
	for _, change := range actions.Changes {
		d.text(change.Name)
		d.number(change.Incarnation)
		d.number(uint64(change.State))
		d.text(change.Reason)
	}
	for _, notice := range actions.Notices {
		d.text(notice.Kind)
		d.text(notice.Text)
	}
	if actions.View != nil {
		d.text(actions.View.ViewID.String())
		d.number(uint64(len(actions.View.Members)))
	}
	d.number(uint64(actions.Next))
	return actions
}

func (d *digestedMember) number(value uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], value)
	d.digest.Write(buffer[:])
}

func (d *digestedMember) text(value string) {
	d.number(uint64(len(value)))
	d.digest.Write([]byte(value))
}

// TestActionsMatchRecordedHash guards against an unintended change of behaviour. It compares all actions of the members
// in seeded runs with loss, kills, pauses, partitions and leaves with a recorded hash. The hash is never edited to get
// a pass.
func TestActionsMatchRecordedHash(t *testing.T) {
	const want = "481af8f4e4381ee274fc001224ff278a"
	digest, events := sha256.New(), 0
	for seed := range uint64(4) {
		runGolden(t, seed, digest, &events)
	}
	if got := hex.EncodeToString(digest.Sum(nil)[:16]); got != want {
		t.Errorf("%d events have the hash %s, want %s", events, got, want)
	}
}

func runGolden(t *testing.T, seed uint64, digest hash.Hash, events *int) {
	t.Helper()
	w := simulation.New(14, 3, 50+seed)
	w.Loss, w.Duplicates = 0.05, 0.02
	newMember := w.NewMember
	w.NewMember = func(n *simulation.Node, seed uint64) (simulation.Member, error) {
		member, err := newMember(n, seed)
		return &digestedMember{member: member, digest: digest, events: events}, err
	}
	for i, n := range w.Nodes {
		w.At(time.Duration(i)*150*time.Millisecond, func() { w.Start(n) })
	}
	at := func(seconds int, do func()) { w.At(time.Duration(seconds)*time.Second, do) }
	at(15, func() { w.Kill(w.Nodes[3]) })
	at(22, func() { w.Pause(w.Nodes[5], 2*time.Second) })
	at(25, func() { w.Deliver(w.Nodes[7], membership.Event{Kind: membership.Leave}) })
	at(35, func() { w.Start(w.Nodes[3]) })
	at(40, func() { w.Pause(w.Nodes[6], 9*time.Second) })
	at(50, func() {
		w.IsPartitioned = func(from, to *simulation.Node) bool {
			return from.Zone != to.Zone && (from.Zone == "z0" || to.Zone == "z0")
		}
	})
	at(65, func() { w.IsPartitioned = nil })
	at(75, func() { w.Nodes[8].ReceivesNothing = true })
	at(85, func() { w.Nodes[8].ReceivesNothing = false })
	at(90, func() {
		for _, n := range w.Nodes[:9] {
			w.Kill(n)
		}
	})
	at(96, func() {
		for _, n := range w.Nodes[:9] {
			w.Start(n)
		}
	})
	at(110, func() {
		w.Deliver(w.Nodes[10], membership.Event{Kind: membership.MetadataChanged, Metadata: membership.Metadata{}})
	})
	w.Run(140 * time.Second)
}
