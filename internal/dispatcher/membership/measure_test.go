// Long measurements in virtual time, outside CI: `make membership` prints the tables of docs/membership-design.md.

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

// played is a world of n members of a kind that all know each other from the start.
func played(kind string, n int, seed uint64, bear time.Duration) *simulation.World {
	w := simulation.New(n, 3, seed)
	w.Quiet = true
	var all []membership.Record
	for i, x := range w.Nodes {
		at, _ := x.Addr.MarshalBinary()
		all = append(all, membership.Record{Name: x.Name, Incarnation: uint64(i+1) * 1000, Zone: x.Zone, Address: at})
	}
	slices.SortFunc(all, func(a, b membership.Record) int { return strings.Compare(a.Zone+"\x00"+a.Name, b.Zone+"\x00"+b.Name) })
	first := membership.Viewed(all)
	w.Make = func(x *simulation.Node, seed uint64) (simulation.Member, error) {
		if kind != "views" {
			return simulation.NewBaseline(w, x, seed, kind == "heartbeats", 500*time.Millisecond, bear), nil
		}
		m, err := membership.New(membership.Config{Name: x.Name, Zone: x.Zone, Address: x.Addr, Incarnation: x.Incarnation, Seed: seed, Seeds: w.Seeds(5), FailureTimeout: bear}, w.Now)
		if err == nil && w.Now < time.Second {
			m.Born(first)
		}
		return m, err
	}
	for i, x := range w.Nodes {
		w.At(time.Duration(i)*500*time.Millisecond/time.Duration(n), func() { w.Start(x) })
	}
	w.Run(time.Second)
	return w
}

type figures struct {
	hours           float64
	failed, accused int // though they were there
	rate            float64
	first, last     []time.Duration
	views           int
	undetected      int
}

// measure plays a stretch with loss and stops, then crashes one after the other.
func measure(kind string, n int, seed uint64, bear, stretch time.Duration, stops time.Duration, loss float64, crashes int) (f figures) {
	w := played(kind, n, seed, bear)
	w.Quiet, w.FailureTimeout, w.Loss = false, time.Hour, loss // no stop is an excuse here
	began, sent := w.Now, uint64(0)
	if stops > 0 { // each member once in 30 s
		every := 30 * time.Second / time.Duration(n)
		for k := 0; time.Duration(k)*every < stretch; k++ {
			x := w.Nodes[(k*7919+int(seed))%n]
			d := time.Duration(uint64(k)*2654435761%1000) * stops / 1000
			w.At(began+time.Duration(k)*every, func() { w.Stop(x, d) })
		}
	}
	for _, x := range w.Nodes {
		sent -= x.Sent
	}
	w.Run(began + stretch)
	for _, x := range w.Nodes {
		sent += x.Sent
	}
	f.hours = stretch.Hours() * float64(n)
	f.rate = float64(sent) / stretch.Seconds() / float64(n)
	for _, e := range w.Record {
		if c := e.Change; c != nil && c.State == membership.Failed {
			f.failed++
		} else if c != nil && c.State == membership.Suspected {
			f.accused++
		}
	}
	w.Run(w.Now + 10*time.Second) // stops that are under way end
	for k := range crashes {
		x := w.Nodes[(k*31+n/2)%n]
		at, life := w.Now, x.Incarnation
		w.Record = w.Record[:0]
		w.Kill(x)
		w.Run(w.Now + 20*time.Second)
		f.views += w.Views(at, w.Now)
		suspected, gone := w.ChangesOf(x.Name, life, membership.Suspected, at), w.ChangesOf(x.Name, life, membership.Failed, at)
		if kind == "heartbeats" {
			suspected = gone
		}
		if len(gone) < n-1-k {
			f.undetected++
			continue
		}
		f.first, f.last = append(f.first, suspected[0]), append(f.last, gone[len(gone)-1])
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
	loss, stops := 0.2, 3*time.Second
	if v, err := time.ParseDuration(os.Getenv("MEMBERSHIP_STOPS")); err == nil {
		stops = v
	}
	var mu sync.Mutex
	var table []string
	t.Run("plays", func(t *testing.T) {
		for _, n := range sizes {
			for _, k := range []struct {
				kind string
				bear time.Duration
			}{{"views", 3 * time.Second}, {"views", 1500 * time.Millisecond}, {"views", 6 * time.Second},
				{"SWIM", 3500 * time.Millisecond}, {"SWIM", 7 * time.Second}, {"heartbeats", 3500 * time.Millisecond}} {
				if k.kind == "heartbeats" && n > 300 || n > 1000 && k.bear != 3*time.Second {
					continue // n times n datagrams a period
				}
				t.Run(fmt.Sprintf("%s/%v/%d", k.kind, k.bear, n), func(t *testing.T) {
					t.Parallel()
					stretch := time.Duration(seconds) * time.Second * 100 / time.Duration(max(n, 100))
					f := measure(k.kind, n, 1, k.bear, stretch, stops, loss, 5)
					line := fmt.Sprintf("| %5d | %-10s | %v | %.2f | %d | %d | %s | %s | %.1f | %.0f |", n, k.kind, k.bear, f.hours, f.failed, f.accused, median(f.first), median(f.last), float64(f.views)/5, f.rate)
					mu.Lock()
					defer mu.Unlock()
					table = append(table, line)
				})
			}
		}
	})
	slices.Sort(table)
	t.Logf("loss %v, stops up to %v, each member once in 30 s\n| members | protocol | silence borne | member-hours | taken for failed though there | accusations of those that are there | suspected by somebody | failed for all | views a crash | bytes a second sent |\n%s", loss, stops, strings.Join(table, "\n"))
}
