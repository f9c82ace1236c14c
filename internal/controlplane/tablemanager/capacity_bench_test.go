package tablemanager

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gladepick/internal/cluster"
	"gladepick/internal/controlplane/controlstate"
	"gladepick/internal/controlplane/lease"
	"gladepick/internal/controlplane/placement"
)

// BenchmarkManagerStep measures a step of the manager without changes, as the primary runs it ten times a second.
func BenchmarkManagerStep(b *testing.B) {
	for _, size := range []struct{ stores, partitions int }{
		{100, 64}, {1000, 64}, {6500, 64}, {100, 1024}, {1000, 10_240}, {6500, 32_768},
	} {
		b.Run(fmt.Sprintf("stores=%d/partitions=%d", size.stores, size.partitions), func(b *testing.B) {
			infos := benchStores(size.stores)
			leases := filledLeases(infos)
			current := benchContent(infos, size.partitions)
			b.ResetTimer()
			before := processorTime(b)
			for range b.N {
				benchStep(current, leases)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkLostStore measures the planning of the replacement of one lost store.
func BenchmarkLostStore(b *testing.B) {
	for _, size := range []struct{ stores, partitions int }{{100, 1024}, {300, 3072}, {1000, 10_240}} {
		b.Run(fmt.Sprintf("stores=%d/partitions=%d", size.stores, size.partitions), func(b *testing.B) {
			infos := benchStores(size.stores)
			leases := filledLeases(infos)
			current := benchContent(infos, size.partitions)
			leases.Revoke(infos[size.stores/2], time.Now())
			b.ResetTimer()
			before := processorTime(b)
			for range b.N {
				benchStep(current, leases)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkLostZone measures the planning of the replacement of a lost seventh of all stores.
func BenchmarkLostZone(b *testing.B) {
	for _, size := range []struct{ stores, partitions int }{{300, 1500}, {1000, 5000}, {3000, 15_000}, {6500, 32_500}} {
		b.Run(fmt.Sprintf("stores=%d/partitions=%d", size.stores, size.partitions), func(b *testing.B) {
			infos := benchStores(size.stores)
			leases := filledLeases(infos)
			current := benchContent(infos, size.partitions)
			for number := 0; number < size.stores; number += 7 {
				leases.Revoke(infos[number], time.Now())
			}
			b.ResetTimer()
			before := processorTime(b)
			for range b.N {
				benchStep(current, leases)
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// benchStep does what the manager does in a step, up to the proposal.
func benchStep(current *controlstate.State, leases *lease.Table) *controlstate.TableChange {
	builder := placement.NewBuilder(current, leases.Statuses(time.Now()), placement.Redundancy{ReplicationFactor: 2, Zones: 2})
	builder.UpdateStores()
	builder.UpdateStores()
	builder.PlaceInitially()
	builder.Repair()
	builder.Rebalance()
	builder.CompleteRetireJobs()
	builder.UpdateDeliveringStores(time.Now(), 0)
	return builder.Diff(current)
}

// processorTime returns the processor time that this process has used. Unlike elapsed time, it excludes other
// processes' load on the machine.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchStores(count int) []cluster.NodeInfo {
	infos := make([]cluster.NodeInfo, count)
	for i := range infos {
		name := fmt.Sprintf("store-%05d", i)
		infos[i] = cluster.NodeInfo{
			Name: name, Class: "store", Zone: fmt.Sprintf("zone-%d", i%7), Region: fmt.Sprintf("region-%d", i%7%3),
			Address: fmt.Sprintf("10.0.%d.%d:7240", i>>8, i&255), Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ",
			DiskID: "disk-" + name, Store: true,
		}
	}
	return infos
}

// filledLeases returns a table of leases that do not expire during a benchmark.
func filledLeases(infos []cluster.NodeInfo) *lease.Table {
	leases := lease.NewTable(func() {})
	for _, info := range infos {
		leases.Renew(info, time.Now().Add(time.Hour))
	}
	return leases
}

// benchContent returns a state in which all stores are active and all partitions are placed.
func benchContent(infos []cluster.NodeInfo, partitions int) *controlstate.State {
	table := &cluster.Table{Revision: 1, ReplicationFactor: 2, DeliveringStores: len(infos)}
	for _, info := range infos {
		table.Stores = append(table.Stores, cluster.StoreEntry{
			Name: info.Name, Zone: info.Zone, Address: info.Address, DiskID: info.DiskID, Incarnation: info.Incarnation,
			State: cluster.StoreActive,
		})
	}
	for id := range partitions {
		first, second := infos[id%len(infos)], infos[(id+1)%len(infos)]
		table.Partitions = append(table.Partitions, cluster.Partition{ID: id, Epoch: 1, Replicas: []cluster.Replica{
			{Store: first.Name, DiskID: first.DiskID, Synced: true}, {Store: second.Name, DiskID: second.DiskID, Synced: true},
		}})
	}
	return &controlstate.State{Table: table}
}
