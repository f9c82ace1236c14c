package decision

import (
	"math"
	"slices"
	"testing"
	"time"
)

// labelsByWorker returns the label of each worker in the pools of a dispatcher.
func labelsByWorker(d *Dispatcher) map[WorkerID]int {
	labels := map[WorkerID]int{}
	for l, kinds := range d.pools.members {
		for _, members := range kinds {
			for _, w := range members {
				labels[w.Worker] = l
			}
		}
	}
	return labels
}

// dispatcherWithList returns a dispatcher that has received a full list.
func dispatcherWithList(t *testing.T, seed uint64, list []Entry) *Dispatcher {
	d := newTestDispatcher(t, testSettings(), seed)
	d.Handle(time.Second, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
	return d
}

// Dispatchers with the same workers must compute the same pools, whatever the order and the kind of their
// lists.
func TestDispatchersAgreeOnPools(t *testing.T) {
	list := testWorkers(60)
	want := labelsByWorker(dispatcherWithList(t, 1, list))
	reversed := slices.Clone(list)
	slices.Reverse(reversed)
	if len(want) != len(list) {
		t.Fatalf("%d of %d workers are in a pool", len(want), len(list))
	}
	d := dispatcherWithList(t, 2, nil)
	for _, e := range reversed { // a sequence of deltas must give the same pools
		d.Handle(2*time.Second, &Event{Kind: EventList, List: ListDelta, Entries: []Entry{e}}, nil)
	}
	for name, got := range map[string]map[WorkerID]int{
		"reversed": labelsByWorker(dispatcherWithList(t, 3, reversed)),
		"deltas":   labelsByWorker(d)} {
		for id, l := range want {
			if got[id] != l {
				t.Errorf("%s: worker %d has label %d, want %d", name, id, got[id], l)
			}
		}
	}
	for kind := range 2 {
		if len(d.pools.members[unlabelled][kind]) == 0 {
			t.Errorf("no unlabelled workers of kind %d", kind)
		}
	}
}

// A worker that leaves must not move many other workers between pools.
func TestListChangeMovesFewWorkersBetweenPools(t *testing.T) {
	list := testWorkers(60)
	before := labelsByWorker(dispatcherWithList(t, 1, list))
	for i := range list {
		after, moved := labelsByWorker(dispatcherWithList(t, 1, slices.Delete(slices.Clone(list), i, i+1))), 0
		for id, l := range after {
			if before[id] != l {
				moved++
			}
		}
		// At most one worker leaves each later pool, and rounding may change the sizes.
		if moved > 2*len(testSettings().Tenants) {
			t.Errorf("without worker %d, %d other workers moved", list[i].Worker, moved)
		}
	}
}

// Jobs must go to their tenant's pool while it has free workers.
func TestTenantsKeepToTheirPools(t *testing.T) {
	c := newChecker(t, testSettings(), 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: testWorkers(60)})
	labels := labelsByWorker(c.dispatcher)
	for id := JobID(1); id <= 200; id++ {
		tenant := int(id) % 5
		c.event(Event{Kind: EventJob, Job: id, Tenant: tenant, Slots: 1, Deadline: c.now + time.Second})
		if to := c.jobs[id].sends[0].to.Worker; labels[to] != c.dispatcher.pools.labelByTenant[tenant] {
			t.Errorf("tenant %d: job sent to a worker of label %d", tenant, labels[to])
		}
		c.outcome(id, 0, OK)
	}
}

// The sizes of the pools must match the shares of their tenants, and a job must leave a full pool. A labelled
// pool had nine tenths of its tenants' share of the workers and the unlabelled pool the rest: the workers of
// the larger tenants were a third busier than the others. Their jobs stayed in that pool and were rejected as
// too likely late, while the others had free slots.
func TestPoolSizesMatchTenantShares(t *testing.T) {
	c := newCheckerWithWorkers(t, 200, sharedFleetSettings)
	for l, share := range c.dispatcher.pools.shares {
		for kind, members := range c.dispatcher.pools.members[l] {
			if got := float64(len(members)) / c.dispatcher.pools.readyCount[kind]; math.Abs(got-share) > 0.02 {
				t.Errorf("label %d has a share of %.2f and %.2f of the workers of kind %d", l, share, got, kind)
			}
		}
	}
	tenant := slices.Index(c.dispatcher.pools.labelByTenant, 1)
	full := c.dispatcher.pools.members[1]
	for k := range full {
		c.dispatcher.load.slotsSeen[k] = 4
		for _, w := range full[k] {
			w.peerSlots, w.peerSlotsAt = 16, c.now
		}
	}
	if !c.sendJob(1, tenant) {
		t.Fatal("a job of a full pool is rejected although all other workers are idle")
	}
	for _, members := range full {
		if slices.Contains(members, c.dispatcher.workers.byID[c.jobs[1].sends[0].to.Worker]) {
			t.Error("the job was sent to the full pool")
		}
	}
}
