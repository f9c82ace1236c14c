// Long measurements in virtual time, which CI skips: `make membership` prints the tables of docs/membership-design.md.

package membership_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gladepick/internal/dispatcher/membership"
	"gladepick/internal/dispatcher/membership/simulation"
)

// newWorld returns a world of n members of a protocol that know each other from the start.
func newWorld(protocol string, n int, seed uint64, failureTimeout time.Duration) *simulation.World {
	w := simulation.New(n, 3, seed)
	w.SkipSuspicions = true
	var records []membership.Record
	for i, node := range w.Nodes {
		address, _ := node.Addr.MarshalBinary()
		records = append(records, membership.Record{Name: node.Name, Incarnation: uint64(i+1) * 1000, Zone: node.Zone, Address: address})
	}
	slices.SortFunc(records, func(a, b membership.Record) int { return strings.Compare(a.Zone+"\x00"+a.Name, b.Zone+"\x00"+b.Name) })
	first := membership.NewFirstView(records)
	w.NewMember = func(node *simulation.Node, seed uint64) (simulation.Member, error) {
		if protocol != "views" {
			return simulation.NewBaseline(w, node, seed, protocol == "heartbeats", 500*time.Millisecond, failureTimeout), nil
		}
		m, err := membership.New(membership.Config{Name: node.Name, Zone: node.Zone, Address: node.Addr, Incarnation: node.Incarnation, Seed: seed, Seeds: w.Seeds(5), FailureTimeout: failureTimeout}, w.Now)
		if err == nil && w.Now < time.Second {
			m.InstallFirstView(first)
		}
		return m, err
	}
	for i, node := range w.Nodes {
		w.At(time.Duration(i)*500*time.Millisecond/time.Duration(n), func() { w.Start(node) })
	}
	w.Run(time.Second)
	return w
}

// figures are the results of measure.
type figures struct {
	hours             float64         // member-hours of simulated time
	failed, suspected int             // changes to Failed and to Suspected of live members
	rate              float64         // sent bytes per second and member
	first, last       []time.Duration // per crash: time to the first suspicion, and to Failed at all members
	views             int
	undetected        int // crashes that not all members noticed within 20 s
}

// measure runs n members with loss and pauses for a time, and then crashes members one after the other.
func measure(protocol string, n int, seed uint64, failureTimeout, duration time.Duration, maxPause time.Duration, loss float64, crashes int) (f figures) {
	w := newWorld(protocol, n, seed, failureTimeout)
	w.SkipSuspicions, w.FailureTimeout, w.Loss = false, time.Hour, loss // no pause counts as a fault
	began, sent := w.Now, uint64(0)
	if maxPause > 0 { // each member once in 30 s
		every := 30 * time.Second / time.Duration(n)
		for k := 0; time.Duration(k)*every < duration; k++ {
			node := w.Nodes[(k*7919+int(seed))%n]
			pause := time.Duration(uint64(k)*2654435761%1000) * maxPause / 1000
			w.At(began+time.Duration(k)*every, func() { w.Pause(node, pause) })
		}
	}
	for _, node := range w.Nodes {
		sent -= node.Sent
	}
	w.Run(began + duration)
	for _, node := range w.Nodes {
		sent += node.Sent
	}
	f.hours = duration.Hours() * float64(n)
	f.rate = float64(sent) / duration.Seconds() / float64(n)
	for _, e := range w.Entries {
		if c := e.Change; c != nil && c.State == membership.Failed {
			f.failed++
		} else if c != nil && c.State == membership.Suspected {
			f.suspected++
		}
	}
	w.Run(w.Now + 10*time.Second) // until all pauses have ended
	for k := range crashes {
		node := w.Nodes[(k*31+n/2)%n]
		at, incarnation := w.Now, node.Incarnation
		w.Entries = w.Entries[:0]
		w.Kill(node)
		w.Run(w.Now + 20*time.Second)
		f.views += w.CountViews(at, w.Now)
		suspectedAfter, failedAfter := w.ChangeDelays(node.Name, incarnation, membership.Suspected, at), w.ChangeDelays(node.Name, incarnation, membership.Failed, at)
		if protocol == "heartbeats" {
			suspectedAfter = failedAfter
		}
		if len(failedAfter) < n-1-k {
			f.undetected++
			continue
		}
		f.first, f.last = append(f.first, suspectedAfter[0]), append(f.last, failedAfter[len(failedAfter)-1])
	}
	slices.Sort(f.first)
	slices.Sort(f.last)
	return f
}

func median(d []time.Duration) string {
	if len(d) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f s", d[len(d)/2].Seconds())
}

func TestMeasure(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("MEMBERSHIP_SECONDS"))
	if seconds == 0 {
		t.Skip("MEMBERSHIP_SECONDS is not set")
	}
	var sizes []int
	for _, s := range strings.Split(os.Getenv("MEMBERSHIP_SIZES"), ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			t.Fatalf("MEMBERSHIP_SIZES: %v", err)
		}
		sizes = append(sizes, n)
	}
	loss, maxPause := 0.2, 3*time.Second
	if v, err := time.ParseDuration(os.Getenv("MEMBERSHIP_STOPS")); err == nil {
		maxPause = v
	}
	var mu sync.Mutex
	var table []string
	t.Run("plays", func(t *testing.T) {
		for _, n := range sizes {
			for _, setup := range []struct {
				protocol       string
				failureTimeout time.Duration
			}{{"views", 3 * time.Second}, {"views", 1500 * time.Millisecond}, {"views", 6 * time.Second},
				{"SWIM", 3500 * time.Millisecond}, {"SWIM", 7 * time.Second}, {"heartbeats", 3500 * time.Millisecond}} {
				if setup.protocol == "heartbeats" && n > 300 || n > 1000 && setup.failureTimeout != 3*time.Second {
					continue // heartbeats send n² datagrams a period
				}
				t.Run(fmt.Sprintf("%s/%v/%d", setup.protocol, setup.failureTimeout, n), func(t *testing.T) {
					t.Parallel()
					duration := time.Duration(seconds) * time.Second * 100 / time.Duration(max(n, 100))
					f := measure(setup.protocol, n, 1, setup.failureTimeout, duration, maxPause, loss, 5)
					line := fmt.Sprintf("| %5d | %-10s | %v | %.2f | %d | %d | %s | %s | %.1f | %.0f |", n, setup.protocol, setup.failureTimeout, f.hours, f.failed, f.suspected, median(f.first), median(f.last), float64(f.views)/5, f.rate)
					mu.Lock()
					defer mu.Unlock()
					table = append(table, line)
				})
			}
		}
	})
	slices.Sort(table)
	t.Logf("loss %v, pauses up to %v, each member once in 30 s\n| members | protocol | failure time-out | member-hours | live members taken for failed | suspicions of live members | first suspicion | failed at all members | views per crash | bytes sent per second and member |\n%s", loss, maxPause, strings.Join(table, "\n"))
}
