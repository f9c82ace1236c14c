package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
)

// Numbers of responses to heartbeats.
const (
	firstResponse  = 1
	secondResponse = 2
	thirdResponse  = 3
)

func storeInfo(name, incarnation string) cluster.NodeInfo {
	return cluster.NodeInfo{Name: name, Incarnation: incarnation, Store: true, DiskID: "disk-" + name}
}

func TestLeaseExpires(t *testing.T) {
	begin := time.Now()
	leases := NewTable(func() {})
	leases.Renew(storeInfo("a", "1"), begin)
	at := func(after time.Duration) Status { return leases.Statuses(begin.Add(after))["a"] }
	assert.Assert(t, at(0).Live && at(0).Recent)
	assert.Assert(t, at(time.Second).Live && !at(time.Second).Recent)
	assert.Assert(t, !at(cluster.LeaseDuration).Live)
}

func TestRevokedLeaseIsRenewedOnlyByALaterRenewal(t *testing.T) {
	begin := time.Now()
	leases := NewTable(func() {})
	leases.Renew(storeInfo("a", "1"), begin)
	revoked := begin.Add(100 * time.Millisecond)
	leases.Revoke(storeInfo("a", "1"), revoked)
	leases.Renew(storeInfo("a", "1"), begin.Add(50*time.Millisecond))
	assert.Assert(t, !leases.Statuses(revoked)["a"].Live)
	leases.Renew(storeInfo("a", "2"), revoked.Add(time.Millisecond))
	assert.Assert(t, leases.Statuses(revoked.Add(time.Millisecond))["a"].Live)
}

func TestLeaseIsRevokedOnce(t *testing.T) {
	begin := time.Now()
	changes := 0
	leases := NewTable(func() { changes++ })
	assert.Assert(t, !leases.Revoke(storeInfo("a", "1"), begin))
	leases.Renew(storeInfo("a", "1"), begin)
	assert.Equal(t, changes, 1)
	_, live := leases.Live("a", begin)
	assert.Assert(t, live)
	revoked := begin.Add(100 * time.Millisecond)
	assert.Assert(t, leases.Revoke(storeInfo("a", "1"), revoked))
	assert.Equal(t, changes, 2)
	_, live = leases.Live("a", revoked)
	assert.Assert(t, !live)
	assert.Assert(t, !leases.Revoke(storeInfo("a", "1"), revoked.Add(time.Millisecond)))
	assert.Equal(t, changes, 2)
	info, found := leases.find("a")
	assert.Assert(t, found)
	assert.Equal(t, info, storeInfo("a", "1"))
}

func TestRevocationDoesNotEndTheLeaseOfALaterIncarnation(t *testing.T) {
	begin := time.Now()
	leases := NewTable(func() {})
	leases.Renew(storeInfo("a", "1"), begin)
	leases.Renew(storeInfo("a", "2"), begin.Add(100*time.Millisecond))
	revoked := begin.Add(101 * time.Millisecond)
	assert.Assert(t, !leases.Revoke(storeInfo("a", "1"), revoked))
	status := leases.Statuses(revoked)["a"]
	assert.Assert(t, status.Live)
	assert.Equal(t, status.Info.Incarnation, "2")
}

func TestGrantedLeaseIsNotRecent(t *testing.T) {
	now := time.Now()
	leases := NewTable(func() {})
	leases.Grant(storeInfo("a", "1"), now)
	status := leases.Statuses(now)["a"]
	assert.Assert(t, status.Live && !status.Recent)
	leases.Renew(storeInfo("a", "1"), now.Add(-time.Second))
	assert.Assert(t, leases.Statuses(now.Add(cluster.LeaseDuration - time.Millisecond))["a"].Live)
}

func TestRenewalsAreForwardedToThePrimary(t *testing.T) {
	begin := time.Now()
	backup, primary := NewTable(func() {}), NewTable(func() {})
	assert.Assert(t, backup.PendingRenewals(firstResponse, begin) == nil)
	for i := range 10 {
		now := begin.Add(time.Duration(i) * 400 * time.Millisecond)
		backup.Renew(storeInfo("a", "1"), now)
		backup.Renew(cluster.NodeInfo{Name: "front", Incarnation: "1"}, now)
		payload := backup.PendingRenewals(firstResponse, now.Add(100*time.Millisecond))
		assert.NilError(t, primary.ApplyRenewals(payload, now.Add(100*time.Millisecond)))
		status := primary.Statuses(now.Add(100 * time.Millisecond))["a"]
		assert.Equal(t, status.Info, storeInfo("a", "1"))
		assert.Equal(t, status.Expires, now.Add(cluster.LeaseDuration))
		assert.Assert(t, backup.PendingRenewals(secondResponse, now.Add(200*time.Millisecond)) == nil)
	}
	_, found := primary.find("front")
	assert.Assert(t, !found)
}

func TestLostCompleteRenewalIsForwardedAgain(t *testing.T) {
	now := time.Now()
	backup, primary := NewTable(func() {}), NewTable(func() {})
	backup.Renew(storeInfo("a", "1"), now)
	backup.PendingRenewals(firstResponse, now) // lost
	for range completeRenewalInterval {
		now = now.Add(100 * time.Millisecond)
		backup.Renew(storeInfo("a", "1"), now)
		assert.NilError(t, primary.ApplyRenewals(backup.PendingRenewals(firstResponse, now), now))
	}
	info, found := primary.find("a")
	assert.Assert(t, found)
	assert.Equal(t, info, storeInfo("a", "1"))
}

func TestChangesOfLeasesAreNotified(t *testing.T) {
	changes := 0
	now := time.Now()
	leases := NewTable(func() { changes++ })
	leases.Renew(storeInfo("a", "1"), now)
	leases.Renew(storeInfo("a", "1"), now.Add(time.Millisecond))
	assert.Equal(t, changes, 1)
	draining := storeInfo("a", "1")
	draining.Draining = true
	leases.Renew(draining, now.Add(2*time.Millisecond))
	assert.Equal(t, changes, 2)
}

func TestLeaseIsMeasuredFromTheConfirmedRenewal(t *testing.T) {
	begin := time.Now()
	backup := NewTable(func() {})
	backup.Renew(storeInfo("a", "1"), begin)
	_, found := backup.ConfirmedAt("a", "1")
	assert.Assert(t, !found, "confirmed before anything was forwarded")
	backup.PendingRenewals(firstResponse, begin.Add(50*time.Millisecond))
	later := begin.Add(100 * time.Millisecond)
	backup.Renew(storeInfo("a", "1"), later)
	backup.ConfirmResponse(firstResponse)
	confirmed, found := backup.ConfirmedAt("a", "1")
	assert.Assert(t, found)
	assert.Equal(t, confirmed, begin, "the response does not confirm a renewal that arrived after it")
	backup.PendingRenewals(secondResponse, later)
	backup.ConfirmResponse(secondResponse)
	confirmed, _ = backup.ConfirmedAt("a", "1")
	assert.Equal(t, confirmed, later)
	backup.Renew(storeInfo("a", "2"), later.Add(time.Millisecond))
	_, found = backup.ConfirmedAt("a", "2")
	assert.Assert(t, !found, "a new incarnation has no confirmed renewal yet")
}

func TestRenewalIsForwardedAgainAfterALostResponse(t *testing.T) {
	begin := time.Now()
	backup, primary := NewTable(func() {}), NewTable(func() {})
	backup.Renew(storeInfo("a", "1"), begin)
	assert.Assert(t, backup.PendingRenewals(firstResponse, begin) != nil) // lost
	assert.Assert(t, backup.PendingRenewals(secondResponse, begin) == nil)
	backup.ConfirmResponse(secondResponse)
	_, found := backup.ConfirmedAt("a", "1")
	assert.Assert(t, !found)
	assert.NilError(t, primary.ApplyRenewals(backup.PendingRenewals(thirdResponse, begin.Add(time.Millisecond)), begin.Add(time.Millisecond)))
	assert.Assert(t, primary.Statuses(begin.Add(time.Millisecond))["a"].Live)
	backup.ConfirmResponse(thirdResponse)
	confirmed, found := backup.ConfirmedAt("a", "1")
	assert.Assert(t, found)
	assert.Equal(t, confirmed, begin)
}

func TestUnresponsiveProcessKeepsItsLeaseAndRecoversWithARenewal(t *testing.T) {
	begin := time.Now()
	changes := 0
	leases := NewTable(func() { changes++ })
	leases.Renew(storeInfo("a", "1"), begin)
	pinged := begin.Add(100 * time.Millisecond)
	leases.MarkUnresponsive(storeInfo("a", "1"), pinged)
	status := leases.Statuses(pinged)["a"]
	assert.Assert(t, status.Live && status.Unresponsive)
	assert.Equal(t, changes, 2)
	leases.MarkUnresponsive(storeInfo("a", "1"), pinged.Add(time.Millisecond))
	assert.Equal(t, changes, 2, "a repeated mark is no change")

	leases.Renew(storeInfo("a", "1"), begin.Add(50*time.Millisecond))
	assert.Assert(t, leases.Statuses(pinged)["a"].Unresponsive, "a renewal from before the ping does not count")
	leases.Renew(storeInfo("a", "1"), pinged.Add(200*time.Millisecond))
	assert.Assert(t, !leases.Statuses(pinged.Add(200 * time.Millisecond))["a"].Unresponsive)
	assert.Equal(t, changes, 3)
}

func TestProcessThatRenewedAfterThePingIsNotUnresponsive(t *testing.T) {
	begin := time.Now()
	leases := NewTable(func() {})
	leases.Renew(storeInfo("a", "1"), begin.Add(100*time.Millisecond))
	leases.MarkUnresponsive(storeInfo("a", "1"), begin)
	assert.Assert(t, !leases.Statuses(begin.Add(100 * time.Millisecond))["a"].Unresponsive)
}

func TestOtherIncarnationIsNotUnresponsive(t *testing.T) {
	begin := time.Now()
	leases := NewTable(func() {})
	leases.Renew(storeInfo("a", "2"), begin)
	leases.MarkUnresponsive(storeInfo("a", "1"), begin.Add(time.Millisecond))
	assert.Assert(t, !leases.Statuses(begin.Add(time.Millisecond))["a"].Unresponsive)
}
