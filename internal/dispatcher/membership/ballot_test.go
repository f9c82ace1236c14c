package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMembersNeverShareABallot guards against two proposers with one ballot number, whose proposals a voter would take for
// one: it starts ballots of members that have promised the same number.
func TestMembersNeverShareABallot(t *testing.T) {
	const members = 5
	var records []Record
	for i := range members {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
		encoded, err := address.MarshalBinary()
		assert.NilError(t, err)
		records = append(records, Record{Name: fmt.Sprintf("n%d.example", i), Address: encoded, Incarnation: 1})
	}
	for _, promised := range []uint32{0, 1, ballotsPerAttempt, ballotsPerAttempt + 3, 3*ballotsPerAttempt + 2, 1 << 20} {
		used := make(map[uint32]string)
		for _, record := range records {
			m, err := New(Config{Name: record.Name, Incarnation: record.Incarnation, Address: record.AddrPort()}, time.Second)
			assert.NilError(t, err)
			m.InstallFirstView(NewFirstView(records))
			m.view.promised = promised
			m.startBallot(&change{})
			ballot := m.view.ballot
			assert.Assert(t, ballot > promised)
			assert.Equal(t, used[ballot], "", "ballot %d after %d", ballot, promised)
			used[ballot] = record.Name
		}
	}
}
