// Many dispatchers share one discovery server that handles one call at a time. Their calls after a start, a kill, a
// lost watch or a refusal must not come together in a storm, and no job may be lost.

package testenv

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/discovery"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/workerhttp"
)

// dispatcherHerd is many dispatchers that share one discovery server and a few workers on an in-memory network.
type dispatcherHerd struct {
	t         *testing.T
	net       *Network
	discovery *DiscoveryServer
	known     []config.Worker
	startedAt time.Time
	mu        sync.Mutex
	calls     [][]time.Duration // by dispatcher: times of its calls since the start
	lost      []string          // jobs that were not served
	served    int
	jobs      sync.WaitGroup
}

// start starts dispatcher i. kill ends it at once, without a drain. life is the number of earlier starts.
func (c *dispatcherHerd) start(i, life int) (kill func()) {
	n := Node(c.t, c.known, "")
	n.Seed, n.Module.Self, n.Module.Dispatchers = uint64(i*1000+life), i, len(c.calls)
	counters := new(dispatch.Counters)
	f, watch := workerhttp.New(n, counters), discovery.New(n)
	f.Dial = c.net.Dial
	watch.Dial = func(ctx context.Context, _, address string) (net.Conn, error) {
		c.mu.Lock()
		c.calls[i] = append(c.calls[i], time.Since(c.startedAt))
		c.mu.Unlock()
		return c.net.Dial(ctx, address)
	}
	core, err := dispatch.New(n, counters, f, nil, watch, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	watch.OnList = core.UpdateWorkers
	ctx, cancel := context.WithCancel(context.Background())
	go core.Run(ctx)
	go watch.Run(ctx)
	go func() { // one job per second; a job lost by a kill does not count, as discovery is not its cause
		time.Sleep(time.Duration(i) * 15 * time.Millisecond)
		for k := 0; ctx.Err() == nil; k++ {
			id := fmt.Sprintf("n%d.%d.%d", i, life, k)
			c.jobs.Add(1)
			err := core.Submit(&dispatch.Job{ID: id, Target: "/seat-check/x", Body: []byte("done/20ms"), Slots: 1, Timeout: 5 * time.Second,
				Reply: func(a dispatch.Answer) {
					c.mu.Lock()
					if c.served++; a.Kind != dispatch.Served && ctx.Err() == nil {
						c.lost = append(c.lost, id)
					}
					c.mu.Unlock()
					c.jobs.Done()
				}})
			if err != nil {
				c.t.Errorf("%s: Submit: %v", id, err)
				c.jobs.Done()
			}
			time.Sleep(time.Second)
		}
	}()
	return func() {
		cancel()
		core.Wait()
		for _, w := range c.known {
			f.CloseIdle(w)
		}
	}
}

// between returns the number of calls in a span, the most by one dispatcher, and the most within any 100 ms.
func (c *dispatcherHerd) between(from, to time.Duration) (all, byOne, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at []time.Duration
	for _, calls := range c.calls {
		n := len(at)
		for _, t := range calls {
			if t >= from && t < to {
				at = append(at, t)
			}
		}
		byOne = max(byOne, len(at)-n)
	}
	slices.Sort(at)
	for i, t := range at {
		end, _ := slices.BinarySearch(at, t+100*time.Millisecond)
		peak = max(peak, end-i)
	}
	return len(at), byOne, peak
}

// inStep counts the pairs of dispatchers whose calls in a span, at least three, all come within 20 ms of each other.
func (c *dispatcherHerd) inStep(from, to time.Duration) (pairs int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows [][]time.Duration
	for _, calls := range c.calls {
		row := slices.DeleteFunc(slices.Clone(calls), func(t time.Duration) bool { return t < from || t >= to })
		for _, other := range rows {
			matches := len(row) == len(other) && len(row) >= 3
			for k := 0; matches && k < len(row); k++ {
				matches = (row[k] - other[k]).Abs() < 20*time.Millisecond
			}
			if matches {
				pairs++
			}
		}
		rows = append(rows, row)
	}
	return pairs
}

func TestDiscoveryCallsDoNotComeInStorms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dispatcherCount = 60
		const callDuration = 25 * time.Millisecond // discovery handles 40 calls per second
		c := &dispatcherHerd{t: t, net: &Network{Silent: map[string]bool{}}, startedAt: time.Now(), calls: make([][]time.Duration, dispatcherCount),
			discovery: &DiscoveryServer{Changes: make(chan string), CallDuration: callDuration, MaxWait: 600 * time.Millisecond}}
		workers := &WorkerGroup{}
		for i := range 8 {
			name, address := fmt.Sprintf("s-%08x", (i+1)*0x1234567), fmt.Sprintf("127.0.1.%d:5000", i)
			c.known = append(c.known, Worker(name, address, "ready"))
			l := c.net.Listen(address)
			t.Cleanup(func() { l.Close() })
			go workers.Worker(l, name)
		}
		c.discovery.Complete = config.WorkerList{Generation: 8, Reset: true, Workers: c.known}
		srv := &http.Server{Handler: c.discovery}
		t.Cleanup(func() { srv.Close(); time.Sleep(time.Minute) })
		go srv.Serve(c.net.Listen("127.0.0.1:8500"))
		kills := make([]func(), dispatcherCount)
		for i := range kills {
			kills[i] = c.start(i, 0)
		}
		t.Cleanup(func() {
			for _, kill := range kills {
				kill()
			}
		})
		// Each part: an event for all dispatchers, the calls allowed to one of them, and to all within 100 ms.
		for _, part := range []struct {
			name        string
			duration    time.Duration
			do          func()
			byOne, peak int
			up          int // open watches at the end of the part
		}{
			{"all start together", 10 * time.Second, func() {}, 2, 15, dispatcherCount},
			{"nothing happens", 20 * time.Second, func() {}, 0, 0, dispatcherCount},
			{"two thirds are killed and start again together", 10 * time.Second, func() {
				for i := range dispatcherCount * 2 / 3 {
					kills[i]()
				}
				for i := range dispatcherCount * 2 / 3 {
					kills[i] = c.start(i, 1)
				}
			}, 2, 15, dispatcherCount},
			{"all watches end and all are turned away", 16 * time.Second, func() {
				c.discovery.update(func() { c.discovery.Status = http.StatusServiceUnavailable; c.discovery.closeWatches() })
			}, 20, dispatcherCount, 0},
			{"discovery is back", 12 * time.Second, func() { c.discovery.update(func() { c.discovery.Status = 0 }) }, 5, 15, dispatcherCount},
			{"it holds", 10 * time.Second, func() {}, 0, 0, dispatcherCount},
			{"all watches end once more", 10 * time.Second, func() { c.discovery.update(c.discovery.closeWatches) }, 6, dispatcherCount, dispatcherCount},
			{"it holds again", 10 * time.Second, func() {}, 0, 0, dispatcherCount},
		} {
			began := time.Since(c.startedAt)
			part.do()
			time.Sleep(part.duration)
			all, byOne, peak := c.between(began, time.Since(c.startedAt))
			pairs, up := c.inStep(began, time.Since(c.startedAt)), 0
			c.discovery.update(func() { up = c.discovery.openWatches })
			t.Logf("%s: %d calls, at most %d by one dispatcher and %d within 0.1 s, %d pairs in step", part.name, all, byOne, peak, pairs)
			if byOne > part.byOne || peak > part.peak {
				t.Errorf("%s: %d calls, %d by one dispatcher, %d within 0.1 s; want at most %d and %d", part.name, all, byOne, peak, part.byOne, part.peak)
			}
			if pairs > 0 || up != part.up {
				t.Errorf("%s: %d pairs call in step; %d watches are open, want %d", part.name, pairs, up, part.up)
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		t.Logf("%d calls received, %d of them refused, %d jobs answered", len(c.discovery.Calls()), c.discovery.rejectedCalls, c.served)
		if len(c.lost) > 0 || c.served < 5000 {
			t.Errorf("%d jobs were answered, want 5000 or more; %d of them were not served: %s", c.served, len(c.lost), strings.Join(c.lost[:min(len(c.lost), 10)], ", "))
		}
	})
}
