package lease

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gladepick/internal/cluster"
)

// BenchmarkLeaseTable measures the time and bytes per lease of renewing leases, forwarding them (pass) and applying
// forwarded renewals (take).
func BenchmarkLeaseTable(b *testing.B) {
	for _, stores := range []int{100, 1000, 6500} {
		infos := benchStores(stores)
		b.Run(fmt.Sprintf("renew/stores=%d", stores), func(b *testing.B) {
			leases := filledLeases(infos)
			for i := range b.N {
				leases.Renew(infos[i%stores], time.Now())
			}
		})
		b.Run(fmt.Sprintf("pass/stores=%d", stores), func(b *testing.B) {
			leases, bytes := filledLeases(infos), 0
			for range b.N {
				for _, info := range infos {
					leases.Renew(info, time.Now())
				}
				bytes += len(leases.PendingRenewals(1, time.Now()))
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(stores), "ns/lease")
			b.ReportMetric(float64(bytes)/float64(b.N)/float64(stores), "bytes/lease")
		})
		b.Run(fmt.Sprintf("take/stores=%d", stores), func(b *testing.B) {
			from, to := filledLeases(infos), NewTable(func() {})
			var used time.Duration
			for range b.N {
				b.StopTimer()
				for _, info := range infos {
					from.Renew(info, time.Now())
				}
				payload := from.PendingRenewals(1, time.Now())
				b.StartTimer()
				before := processorTime(b)
				if err := to.ApplyRenewals(payload, time.Now()); err != nil {
					b.Fatal(err)
				}
				used += processorTime(b) - before
			}
			b.ReportMetric(float64(used.Nanoseconds())/float64(b.N)/float64(stores), "cpu-ns/lease")
		})
	}
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
func filledLeases(infos []cluster.NodeInfo) *Table {
	leases := NewTable(func() {})
	for _, info := range infos {
		leases.Renew(info, time.Now())
		leases.entries[info.Name].expires = time.Now().Add(time.Hour)
	}
	return leases
}
