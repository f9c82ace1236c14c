package tablemanager

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/placement"
	"gladepick/internal/controlplane/replication"
	"gladepick/internal/rpc"
)

const (
	traceSteps     = 4000
	traceTick      = 100 * time.Millisecond
	traceStores    = 11
	traceZones     = 4
	traceTolerated = 1
)

// TestDecisionsStayTheSame runs a seeded sequence of faults and requests on a simulated clock. It hashes the record of
// every change of the table that the manager proposes, and the answer to every request. The hashes were recorded once.
// A different hash means that a decision has changed. The hash is never edited to fit a change of the code.
//
// The first sequences are older than retained replicas. Their stores are of a version that can't collect messages, so
// that no recovery begins, and the retained replicas, a field that was added to the views, are left out of the hash:
// everything else has to be as it was. The other sequences have recoveries, and hash the whole records.
func TestDecisionsStayTheSame(t *testing.T) {
	for _, sequence := range []struct {
		name          string
		copies, zones int
		seed          uint64
		hash          string
		collects      bool
	}{
		{name: "two copies in two zones", copies: 2, zones: 2, seed: 1, hash: "8aaf08450a1dbf88d9a05486eab8d15483d0270db5e492216d6cafab92dc0273"},
		{name: "three copies in two zones", copies: 3, zones: 2, seed: 2, hash: "016832afd9fbe8cf252450d6a279b530d44265a1e4749e36ea98db85dc599a10"},
		{name: "three copies in one zone", copies: 3, zones: 1, seed: 3, hash: "230aa2b2a15389af25ee481ae7881c7f53f88f0a26ba7553830ba95596498a7e"},
		{name: "two copies in one zone", copies: 2, zones: 1, seed: 4, hash: "c0eb6231f7d5d93fdf329e0878ca873efb5780c41638a03ec9bd5d1b263f9f2d"},
		{name: "two copies in two zones, with recoveries", copies: 2, zones: 2, seed: 5, collects: true, hash: "983e784ffcda78bdc63fd11c913aef5661b3bb17581bef8dd6ba56657133e000"},
		{name: "three copies in one zone, with recoveries", copies: 3, zones: 1, seed: 3, collects: true, hash: "d3454d02759897520a43157014deafce93fe8951b35c7079d45ce923e8318949"},
	} {
		t.Run(sequence.name, func(t *testing.T) {
			trace := newDecisionTrace(t, sequence.copies, sequence.zones, sequence.seed, sequence.collects)
			for range traceSteps {
				trace.step()
			}
			t.Logf("%d changes of the table, %d recoveries; outcomes: %v", trace.changes, trace.recoveries, trace.outcomes)
			assert.Equal(t, trace.recoveries > 0, sequence.collects)
			assert.Equal(t, hex.EncodeToString(trace.hash.Sum(nil)), sequence.hash)
		})
	}
}

// traceStore is a store of a decision trace.
type traceStore struct {
	info    cluster.NodeInfo
	running bool
	frozen  bool // the process runs but does not renew its lease
	starts  int
}

// decisionTrace runs the table manager's decisions without a group, without goroutines and on a simulated clock.
type decisionTrace struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	manager  *Manager
	role     replication.Role
	stores   []*traceStore
	collects bool // the stores can collect messages, and the hash includes the retained replicas
	hash     hash.Hash
	changes  int
	outcomes map[string]int
	// recoveries counts the views with an unsynced primary.
	recoveries int
}

func newDecisionTrace(t *testing.T, copies, zones int, seed uint64, collects bool) *decisionTrace {
	manager := New(Options{
		State:      controlstate.NewMachine(),
		Redundancy: placement.Redundancy{ReplicationFactor: copies, Zones: zones},
	})
	manager.options.Leases = lease.NewTable(manager.Wake)
	trace := &decisionTrace{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1_700_000_000, 0), manager: manager,
		collects: collects, hash: sha256.New(), outcomes: map[string]int{},
	}
	trace.role = replication.Role{Primary: true, View: replication.View{Primary: "disk-m0", Members: coreMembers()}}
	for i := range traceStores {
		trace.stores = append(trace.stores, &traceStore{info: cluster.NodeInfo{
			Name: fmt.Sprintf("store-%02d", i), Class: "store", Zone: fmt.Sprintf("zone-%d", i%traceZones),
			Address: fmt.Sprintf("10.0.1.%d:7240", i), DiskID: fmt.Sprintf("disk-%02d", i), Store: true,
			CollectsMessages: collects,
		}})
	}
	for _, store := range trace.stores[:traceStores-3] {
		trace.start(store)
	}
	manager.begin(trace.now)
	return trace
}

func coreMembers() []replication.Member {
	var members []replication.Member
	for i := range 3 {
		members = append(members, replication.Member{
			Name: fmt.Sprintf("front-%d", i), Address: fmt.Sprintf("10.0.0.%d:7240", i), DiskID: fmt.Sprintf("disk-m%d", i),
		})
	}
	return members
}

// step advances the clock by one tick, renews leases, injects at most one fault, and makes the manager's decisions.
func (d *decisionTrace) step() {
	d.now = d.now.Add(traceTick)
	for _, store := range d.stores {
		if store.running && !store.frozen && d.random.IntN(3) == 0 {
			d.manager.options.Leases.Renew(store.info, d.now)
		}
	}
	for _, member := range d.role.View.Members {
		if d.random.IntN(6) == 0 {
			d.manager.options.Leases.Renew(cluster.NodeInfo{Name: member.Name, Zone: "zone-" + member.Name, DiskID: member.DiskID, ControlEligible: true}, d.now)
		}
	}
	if d.random.IntN(12) == 0 {
		d.injectFault(d.stores[d.random.IntN(len(d.stores))])
	}
	d.decide(d.request())
}

// injectFault changes one store, several stores or the primary of the control group.
func (d *decisionTrace) injectFault(store *traceStore) {
	switch action := d.random.IntN(16); {
	case !store.running:
		switch action {
		case 0, 1, 2:
			store.info.DiskID = fmt.Sprintf("disk-%s-%d", store.info.Name, store.starts)
		case 3:
			store.info.Zone = fmt.Sprintf("zone-%d", d.random.IntN(traceZones))
		}
		d.start(store)
	case action <= 2: // the process ends and is found dead at once
		store.running = false
		d.manager.options.Leases.Revoke(store.info, d.now)
	case action == 3: // the process ends and is noticed only when its lease expires
		store.running = false
	case action == 4: // all processes of a zone end together
		for _, other := range d.stores {
			if other.info.Zone == store.info.Zone && other.running {
				other.running = false
				d.manager.options.Leases.Revoke(other.info, d.now)
			}
		}
	case action <= 6:
		store.frozen = !store.frozen
		d.manager.options.Leases.MarkUnresponsive(store.info, d.now)
	case action <= 8:
		store.info.Draining = !store.info.Draining
		d.manager.options.Leases.Renew(store.info, d.now)
	case action == 9:
		store.info.DiskFailing = !store.info.DiskFailing
		d.manager.options.Leases.Renew(store.info, d.now)
	case action == 10: // another member becomes the primary
		d.role.View.Primary = d.role.View.Members[d.random.IntN(len(d.role.View.Members))].DiskID
		d.manager.begin(d.now)
	default: // the process restarts with the same disk
		d.start(store)
	}
}

func (d *decisionTrace) start(store *traceStore) {
	store.starts++
	store.running, store.frozen = true, false
	store.info.Draining, store.info.DiskFailing = false, false
	store.info.Incarnation = fmt.Sprintf("life-%d", store.starts)
	d.manager.options.Leases.Renew(store.info, d.now)
}

// traceRequest is a request for a change of the table. It returns the answer, which is added to the hash.
type traceRequest func(*placement.Builder) string

// request returns the requests of this step: one of an operator, or those of some partitions' primaries.
func (d *decisionTrace) request() []traceRequest {
	switch d.random.IntN(60) {
	case 0:
		name := d.stores[d.random.IntN(len(d.stores))].info.Name
		return []traceRequest{func(builder *placement.Builder) string { return describeRetire(builder, name) }}
	case 1:
		name := d.stores[d.random.IntN(len(d.stores))].info.Name
		return []traceRequest{func(builder *placement.Builder) string {
			builder.ResumeRetire(name)
			return describeError(nil)
		}}
	case 2:
		return []traceRequest{func(builder *placement.Builder) string { return describeRetire(builder, "no-store") }}
	}
	var requests []traceRequest
	for _, partition := range d.manager.options.State.Current().Table.Partitions {
		if d.random.IntN(4) != 0 || len(partition.Replicas) == 0 {
			continue
		}
		request := d.partitionRequest(partition)
		if request == nil {
			continue
		}
		requests = append(requests, func(builder *placement.Builder) string {
			return describeError(builder.ApplyRequest(request))
		})
	}
	return requests
}

// partitionRequest returns a request of a partition's primary, or nil. Some requests are invalid.
func (d *decisionTrace) partitionRequest(partition cluster.Partition) *cluster.PartitionRequest {
	request := &cluster.PartitionRequest{Partition: partition.ID, Epoch: partition.Epoch, Store: partition.Replicas[0].Store}
	backup := partition.Replicas[d.random.IntN(len(partition.Replicas))]
	for _, replica := range partition.Replicas {
		if !replica.Synced && d.random.IntN(3) > 0 {
			request.Synced = replica.Store
		}
	}
	preferred := partition.IndexOf(partition.PreferredPrimary)
	request.Handover = preferred > 0 && partition.Replicas[preferred].Synced
	switch d.random.IntN(120) {
	case 0:
		request.Drop = backup.Store
	case 1:
		request.Handover = true
	case 2:
		request.Handover, request.Ready = true, []string{backup.Store}
	case 3:
		request.Epoch++
	case 4:
		request.Partition += 1000
	case 5:
		request.Synced = "no-store"
	case 6:
		request.Store = backup.Store
	case 7:
		request.Drop, request.Synced = backup.Store, backup.Store
	}
	if request.Synced == "" && request.Drop == "" && !request.Handover {
		return nil
	}
	return request
}

// decide applies the requests, plans as the manager does, and puts the resulting change into force.
func (d *decisionTrace) decide(requests []traceRequest) {
	manager, current := d.manager, d.manager.options.State.Current()
	builder := placement.NewBuilder(current, d.manager.options.Leases.Statuses(d.now), d.manager.options.Redundancy)
	builder.UpdateStores()
	manager.awaitRestarts(builder, d.now)
	for _, request := range requests {
		answer := request(builder)
		d.outcomes[answer[:min(len(answer), 11)]]++
		_, _ = io.WriteString(d.hash, answer+"\n")
	}
	manager.plan(builder, d.role, d.now)
	decided := builder.Diff(current)
	if decided == nil {
		return
	}
	d.changes++
	decided.ID = fmt.Sprintf("trace-%d", d.changes)
	record, err := (&controlstate.Change{Table: decided}).Encode()
	assert.NilError(d.t, err)
	_, _ = d.hash.Write(d.hashed(decided))
	for _, partition := range decided.Partitions {
		if partition.Collecting() {
			d.recoveries++
		}
	}
	assert.NilError(d.t, d.manager.options.State.Apply(record))
	assert.Equal(d.t, d.manager.options.State.Current().LastChangeID, decided.ID)
}

// hashed returns the record of a change as it goes into the hash.
func (d *decisionTrace) hashed(decided *controlstate.TableChange) []byte {
	change := *decided
	if !d.collects {
		change.Partitions = slices.Clone(decided.Partitions)
		for i := range change.Partitions {
			change.Partitions[i].Retained = nil
		}
	}
	record, err := (&controlstate.Change{Table: &change}).Encode()
	assert.NilError(d.t, err)
	return record
}

// describeRetire starts the retirement of a store and returns the HTTP status that the operator would receive.
func describeRetire(builder *placement.Builder, store string) string {
	err := builder.StartRetire(store, 2*traceTolerated+1)
	var tooFew *placement.TooFewStoresError
	switch {
	case errors.Is(err, placement.ErrUnknownStore):
		return "retire 404"
	case errors.As(err, &tooFew):
		return "retire 409"
	}
	return "retire 200"
}

// describeError returns the result that the caller of a partition request would receive.
func describeError(err error) string {
	if err == nil {
		return "granted"
	}
	var refused *placement.RequestError
	if !errors.As(err, &refused) {
		return "failed"
	}
	kinds := []error{placement.ErrUnknownPartition, placement.ErrConflict, placement.ErrUnavailable}
	codes := []rpc.Code{rpc.CodeNotFound, rpc.CodeConflict, rpc.CodeUnavailable}
	kind := slices.Index(kinds, refused.Kind)
	return fmt.Sprintf("refused %d %v", kind, &rpc.Error{Code: codes[kind], Message: refused.Message})
}
