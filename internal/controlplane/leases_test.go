package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// Numbers of answers to heartbeats.
const (
	firstAnswer  = 1
	secondAnswer = 2
	thirdAnswer  = 3
)

func storeInfo(name, incarnation string) cluster.NodeInfo {
	return cluster.NodeInfo{Name: name, Incarnation: incarnation, Store: true, DiskID: "disk-" + name}
}

func TestLeaseRunsOut(t *testing.T) {
	begin := time.Now()
	leases := newLeaseTable(func() {})
	leases.renew(storeInfo("a", "1"), begin)
	at := func(after time.Duration) nodeStatus { return leases.statuses(begin.Add(after))["a"] }
	assert.Assert(t, at(0).live && at(0).recent)
	assert.Assert(t, at(time.Second).live && !at(time.Second).recent)
	assert.Assert(t, !at(cluster.LeaseDuration).live)
}

func TestRefusedLeaseIsRenewedOnlyByALaterRenewal(t *testing.T) {
	begin := time.Now()
	leases := newLeaseTable(func() {})
	leases.renew(storeInfo("a", "1"), begin)
	refused := begin.Add(100 * time.Millisecond)
	leases.refuse(storeInfo("a", "1"), refused)
	leases.renew(storeInfo("a", "1"), begin.Add(50*time.Millisecond))
	assert.Assert(t, !leases.statuses(refused)["a"].live)
	leases.renew(storeInfo("a", "2"), refused.Add(time.Millisecond))
	assert.Assert(t, leases.statuses(refused.Add(time.Millisecond))["a"].live)
}

func TestLeaseIsRefusedOnce(t *testing.T) {
	begin := time.Now()
	changes := 0
	leases := newLeaseTable(func() { changes++ })
	assert.Assert(t, !leases.refuse(storeInfo("a", "1"), begin))
	leases.renew(storeInfo("a", "1"), begin)
	assert.Equal(t, changes, 1)
	_, live := leases.live("a", begin)
	assert.Assert(t, live)
	refused := begin.Add(100 * time.Millisecond)
	assert.Assert(t, leases.refuse(storeInfo("a", "1"), refused))
	assert.Equal(t, changes, 2)
	_, live = leases.live("a", refused)
	assert.Assert(t, !live)
	assert.Assert(t, !leases.refuse(storeInfo("a", "1"), refused.Add(time.Millisecond)))
	assert.Equal(t, changes, 2)
	info, found := leases.find("a")
	assert.Assert(t, found)
	assert.Equal(t, info, storeInfo("a", "1"))
}

func TestLaterLifeOutlivesTheRefusalOfAnEarlierOne(t *testing.T) {
	begin := time.Now()
	leases := newLeaseTable(func() {})
	leases.renew(storeInfo("a", "1"), begin)
	leases.renew(storeInfo("a", "2"), begin.Add(100*time.Millisecond))
	refused := begin.Add(101 * time.Millisecond)
	assert.Assert(t, !leases.refuse(storeInfo("a", "1"), refused))
	status := leases.statuses(refused)["a"]
	assert.Assert(t, status.live)
	assert.Equal(t, status.info.Incarnation, "2")
}

func TestGrantedLeaseIsNoSignOfLife(t *testing.T) {
	now := time.Now()
	leases := newLeaseTable(func() {})
	leases.grant(storeInfo("a", "1"), now)
	status := leases.statuses(now)["a"]
	assert.Assert(t, status.live && !status.recent)
	leases.renew(storeInfo("a", "1"), now.Add(-time.Second))
	assert.Assert(t, leases.statuses(now.Add(cluster.LeaseDuration - time.Millisecond))["a"].live)
}

func TestLeasesArePassedToThePrimary(t *testing.T) {
	begin := time.Now()
	backup, primary := newLeaseTable(func() {}), newLeaseTable(func() {})
	assert.Assert(t, backup.pass(firstAnswer, begin) == nil)
	for i := range 10 {
		now := begin.Add(time.Duration(i) * 400 * time.Millisecond)
		backup.renew(storeInfo("a", "1"), now)
		backup.renew(cluster.NodeInfo{Name: "front", Incarnation: "1"}, now)
		payload := backup.pass(firstAnswer, now.Add(100*time.Millisecond))
		assert.NilError(t, primary.take(payload, now.Add(100*time.Millisecond)))
		status := primary.statuses(now.Add(100 * time.Millisecond))["a"]
		assert.Equal(t, status.info, storeInfo("a", "1"))
		assert.Equal(t, status.expires, now.Add(cluster.LeaseDuration))
		assert.Assert(t, backup.pass(secondAnswer, now.Add(200*time.Millisecond)) == nil)
	}
	_, found := primary.find("front")
	assert.Assert(t, !found)
}

func TestWholeRenewalIsPassedAgainWhereItWasLost(t *testing.T) {
	now := time.Now()
	backup, primary := newLeaseTable(func() {}), newLeaseTable(func() {})
	backup.renew(storeInfo("a", "1"), now)
	backup.pass(firstAnswer, now) // lost
	for range fullRenewalInterval {
		now = now.Add(100 * time.Millisecond)
		backup.renew(storeInfo("a", "1"), now)
		assert.NilError(t, primary.take(backup.pass(firstAnswer, now), now))
	}
	info, found := primary.find("a")
	assert.Assert(t, found)
	assert.Equal(t, info, storeInfo("a", "1"))
}

func TestNewsAreToldOfLeases(t *testing.T) {
	news := 0
	now := time.Now()
	leases := newLeaseTable(func() { news++ })
	leases.renew(storeInfo("a", "1"), now)
	leases.renew(storeInfo("a", "1"), now.Add(time.Millisecond))
	assert.Equal(t, news, 1)
	leaving := storeInfo("a", "1")
	leaving.Draining = true
	leases.renew(leaving, now.Add(2*time.Millisecond))
	assert.Equal(t, news, 2)
}

func TestLeaseBeginsWithARenewalThatThePrimaryKnows(t *testing.T) {
	begin := time.Now()
	backup := newLeaseTable(func() {})
	backup.renew(storeInfo("a", "1"), begin)
	_, found := backup.confirmedAt("a", "1")
	assert.Assert(t, !found, "nothing has been passed yet")
	backup.pass(firstAnswer, begin.Add(50*time.Millisecond))
	later := begin.Add(100 * time.Millisecond)
	backup.renew(storeInfo("a", "1"), later)
	backup.confirm(firstAnswer)
	confirmed, found := backup.confirmedAt("a", "1")
	assert.Assert(t, found)
	assert.Equal(t, confirmed, begin, "the renewal after the answer is not confirmed by it")
	backup.pass(secondAnswer, later)
	backup.confirm(secondAnswer)
	confirmed, _ = backup.confirmedAt("a", "1")
	assert.Equal(t, confirmed, later)
	backup.renew(storeInfo("a", "2"), later.Add(time.Millisecond))
	_, found = backup.confirmedAt("a", "2")
	assert.Assert(t, !found, "another process of the store has renewed nothing yet")
}

func TestRenewalIsPassedAgainWhereItsAnswerWasLost(t *testing.T) {
	begin := time.Now()
	backup, primary := newLeaseTable(func() {}), newLeaseTable(func() {})
	backup.renew(storeInfo("a", "1"), begin)
	assert.Assert(t, backup.pass(firstAnswer, begin) != nil) // lost
	assert.Assert(t, backup.pass(secondAnswer, begin) == nil)
	backup.confirm(secondAnswer)
	_, found := backup.confirmedAt("a", "1")
	assert.Assert(t, !found)
	assert.NilError(t, primary.take(backup.pass(thirdAnswer, begin.Add(time.Millisecond)), begin.Add(time.Millisecond)))
	assert.Assert(t, primary.statuses(begin.Add(time.Millisecond))["a"].live)
	backup.confirm(thirdAnswer)
	confirmed, found := backup.confirmedAt("a", "1")
	assert.Assert(t, found)
	assert.Equal(t, confirmed, begin)
}

func TestSilentProcessKeepsItsLeaseUntilItIsHeardAgain(t *testing.T) {
	begin := time.Now()
	changes := 0
	leases := newLeaseTable(func() { changes++ })
	leases.renew(storeInfo("a", "1"), begin)
	asked := begin.Add(100 * time.Millisecond)
	leases.suspect(storeInfo("a", "1"), asked)
	status := leases.statuses(asked)["a"]
	assert.Assert(t, status.live && status.silent)
	assert.Equal(t, changes, 2)
	leases.suspect(storeInfo("a", "1"), asked.Add(time.Millisecond))
	assert.Equal(t, changes, 2, "known already")

	leases.renew(storeInfo("a", "1"), begin.Add(50*time.Millisecond))
	assert.Assert(t, leases.statuses(asked)["a"].silent, "a renewal from before shows nothing")
	leases.renew(storeInfo("a", "1"), asked.Add(200*time.Millisecond))
	assert.Assert(t, !leases.statuses(asked.Add(200 * time.Millisecond))["a"].silent)
	assert.Equal(t, changes, 3)
}

func TestProcessThatWasHeardMeanwhileIsNotSilent(t *testing.T) {
	begin := time.Now()
	leases := newLeaseTable(func() {})
	leases.renew(storeInfo("a", "1"), begin.Add(100*time.Millisecond))
	leases.suspect(storeInfo("a", "1"), begin)
	assert.Assert(t, !leases.statuses(begin.Add(100 * time.Millisecond))["a"].silent)
}

func TestOtherLifeIsNotSilent(t *testing.T) {
	begin := time.Now()
	leases := newLeaseTable(func() {})
	leases.renew(storeInfo("a", "2"), begin)
	leases.suspect(storeInfo("a", "1"), begin.Add(time.Millisecond))
	assert.Assert(t, !leases.statuses(begin.Add(time.Millisecond))["a"].silent)
}
