package replication

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	randomDuration    = 20 * time.Second // of the phase with faults
	settleLimit       = 12 * time.Second // until the group has recovered from all faults
	faultFreeDuration = 3 * time.Second  // without faults, at the end
)

// randomSeeds is the number of random runs.
var randomSeeds = flag.Uint64("random-seeds", 20, "number of runs with random faults")

// TestAcknowledgedChangesSurviveRandomFaults guards against acknowledged changes that are lost, repeated or out of
// order. Clients propose changes while members are killed, lose power, are isolated and lose their disks, never more
// disks at once than the group tolerates. At the end, all members must have all acknowledged changes, once and in
// order.
func TestAcknowledgedChangesSurviveRandomFaults(t *testing.T) {
	for seed := range *randomSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			size, replicationFactor := 3+int(seed%3), 2
			if size == 5 {
				replicationFactor = 3
			}
			inCluster(t, size, replicationFactor, seed, func(c *cluster) { injectRandomFaults(c, seed) })
		})
	}
}

// faultInjector injects random faults into a cluster, and keeps a history of what its clients observed.
type faultInjector struct {
	c       *cluster
	random  *rand.Rand
	wiped   map[*node]string // members that have lost a disk and are not yet replaced, with the old disk's id
	history history
	ended   atomic.Bool
}

// history is what the clients observed.
type history struct {
	acknowledged []string
	rejected     []string // certainly not made
	writes       int
}

func injectRandomFaults(c *cluster, seed uint64) {
	injector := &faultInjector{c: c, random: rand.New(rand.NewPCG(seed, 7)), wiped: map[*node]string{}}
	var clients sync.WaitGroup
	finish := func() {
		injector.ended.Store(true)
		clients.Wait()
	}
	defer finish()
	clients.Go(injector.checkSinglePrimary)
	clients.Go(injector.proposeAll)
	for started := time.Now(); time.Since(started) < randomDuration; {
		injector.step()
		time.Sleep(time.Duration(injector.random.IntN(1200)) * time.Millisecond)
	}
	injector.recoverAll()
	time.Sleep(faultFreeDuration)
	finish()
	injector.check()
}

// step injects one fault, or ends one.
func (f *faultInjector) step() {
	victim := f.c.nodes[f.random.IntN(len(f.c.nodes))]
	if leading := f.c.primaries(); len(leading) == 1 && f.random.IntN(2) == 0 {
		victim = leading[0]
	}
	other := f.c.nodes[f.random.IntN(len(f.c.nodes))]
	if victim.process() == nil {
		victim.restart()
		return
	}
	switch f.random.IntN(16) {
	case 0:
		victim.disk.SetSyncDelay(time.Duration(f.random.IntN(40)) * time.Millisecond)
	case 1:
		f.c.isolate(victim)
	case 2:
		f.killAllAtOnce()
	case 3, 4:
		victim.powerOff()
	case 5, 6:
		f.wipe(victim)
	case 7:
		f.c.network.IsolateOneWay(victim.ip, other.ip)
	case 8:
		f.c.isolate(victim, other)
	case 9:
		victim.disk.SetStalled(true)
		time.Sleep(time.Duration(f.random.IntN(1500)) * time.Millisecond)
		victim.disk.SetStalled(false)
	case 10:
		victim.disk.SetFull(f.random.IntN(2) == 0)
	case 11, 12, 13:
		f.healNetwork()
	default:
		victim.kill()
	}
	f.replaceWipedMember()
}

// killAllAtOnce ends all processes and starts them again within a second.
func (f *faultInjector) killAllAtOnce() {
	for _, each := range f.c.nodes {
		if each.process() != nil {
			each.kill()
		}
	}
	time.Sleep(time.Duration(f.random.IntN(500)) * time.Millisecond)
	for _, each := range f.c.nodes {
		each.restart()
	}
}

func (f *faultInjector) healNetwork() {
	for _, each := range f.c.nodes {
		f.c.rejoin(each)
	}
}

// wipe wipes a member's disk, unless as many disks are lost as the group tolerates.
func (f *faultInjector) wipe(victim *node) {
	if f.wiped[victim] != "" || len(f.wiped) >= f.c.replicationFactor-1 {
		return
	}
	f.wiped[victim] = victim.member.DiskID
	victim.wipe()
	victim.restart()
}

// replaceWipedMember has the primary replace the members with lost disks by the machines' new ones.
func (f *faultInjector) replaceWipedMember() {
	leading := f.c.primaries()
	if len(leading) != 1 {
		return
	}
	group := leading[0].process().group
	for joining, old := range f.wiped {
		view := group.Role().View
		if view.HasInSync(joining.member.DiskID) && len(view.Previous) == 0 {
			delete(f.wiped, joining)
			continue
		}
		ctx, cancel := context.WithTimeout(f.c.t.Context(), 2*time.Second)
		_ = group.ReplaceMember(ctx, old, joining.member)
		cancel()
	}
}

// recoverAll ends all faults.
func (f *faultInjector) recoverAll() {
	f.healNetwork()
	for _, each := range f.c.nodes {
		each.disk.SetSyncDelay(0)
		each.disk.SetFull(false)
		if each.process() == nil {
			each.restart()
		}
	}
	f.c.await(settleLimit, "all wiped members are replaced", func() bool {
		f.replaceWipedMember()
		return len(f.wiped) == 0
	})
	f.c.awaitInSync(settleLimit, len(f.c.nodes))
}

// checkSinglePrimary checks that no two members lead at the same time.
func (f *faultInjector) checkSinglePrimary() {
	for !f.ended.Load() {
		if leading := f.c.primaries(); len(leading) > 1 {
			f.c.logState()
			f.c.t.Errorf("%d members lead at the same time", len(leading))
			return
		}
		time.Sleep(7 * time.Millisecond)
	}
}

// proposeAll proposes one change after the other, and reads after each.
func (f *faultInjector) proposeAll() {
	for !f.ended.Load() {
		leading := f.c.primaries()
		if len(leading) == 0 {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		f.write(leading[0])
		f.read(leading[0])
		time.Sleep(time.Duration(f.pauseMillis()) * time.Millisecond)
	}
}

func (f *faultInjector) pauseMillis() int { return (f.history.writes * 7) % 60 }

func (f *faultInjector) write(at *node) {
	process := at.process()
	if process == nil {
		return
	}
	f.history.writes++
	change := fmt.Sprintf("change-%d", f.history.writes)
	err := at.propose(change, 2*time.Second)
	switch {
	case err == nil:
		f.history.acknowledged = append(f.history.acknowledged, change)
	case errors.Is(err, ErrNotPrimary):
		f.history.rejected = append(f.history.rejected, change)
	}
}

// read checks that a primary that is confirmed by a read barrier has all changes acknowledged before.
func (f *faultInjector) read(at *node) {
	process := at.process()
	if process == nil || at.readBarrier(time.Second) != nil || at.process() != process {
		return
	}
	held := process.machine.list()
	if missing := firstMissing(held, f.history.acknowledged); missing != "" {
		f.c.t.Errorf("a read after a read barrier lacks %s", missing)
	}
}

// check compares the final state with the history.
func (f *faultInjector) check() {
	c := f.c
	c.awaitInSync(settleLimit, len(c.nodes))
	held := c.awaitPrimary(time.Second).process().machine.list()
	c.awaitAllHold(2*time.Second, held...)
	assert.Equal(c.t, firstMissing(held, f.history.acknowledged), "")
	for _, refused := range f.history.rejected {
		assert.Assert(c.t, !slices.Contains(held, refused), "%s was rejected but is in the log", refused)
	}
	assert.Equal(c.t, len(slices.Compact(slices.Sorted(slices.Values(held)))), len(held))
	assert.Assert(c.t, len(f.history.acknowledged) > 20, "only %d changes were acknowledged", len(f.history.acknowledged))
}

// firstMissing returns the first of the wanted changes that is missing or out of order, or "".
func firstMissing(held, wanted []string) string {
	position := 0
	for _, change := range wanted {
		found := slices.Index(held[position:], change)
		if found < 0 {
			return change
		}
		position += found + 1
	}
	return ""
}
