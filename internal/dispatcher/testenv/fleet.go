// A fleet on loopback for checking the planner: workers that keep time, slots,
// queues, cold starts and shared machines over real sockets, discovery that
// lists them late, clients that do not wait for answers. The dispatchers are
// the program itself, one process each. It follows the model's description of a
// fleet, and shares with the model only how requests are drawn and counted.

package testenv

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gladepick/internal/dispatcher/fleetsim"
)

// Fleet is a described fleet at work on loopback.
type Fleet struct {
	desc        *fleetsim.Fleet
	load        *fleetsim.Load
	seed        uint64
	program     string
	dir         string // of configurations and captures
	host        int    // 127.host.x.y: days side by side keep apart
	start       time.Time
	workers     []*machine
	dispatchers []*dispatcherProcess
	mu          sync.Mutex
	outcomes    map[string]chan bool // keys that ran or run; closed once done
	late        atomic.Int64         // nanoseconds that reports are later just now
}

// dispatcherProcess is a dispatcher with what is its own: its view of discovery.
type dispatcherProcess struct {
	zone      string
	address   string
	discovery *DiscoveryServer
	server    *http.Server
	process   *exec.Cmd
	gen       int64
}

func dur(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PlayOnSockets plays a day and gives its book. program is the dispatcher, dir holds what it is told, and its captures
// below capture-N. host is a number from 1 to 250 that no other day has just now.
func PlayOnSockets(desc *fleetsim.Fleet, load *fleetsim.Load, seed uint64, program, dir string, host int) (*fleetsim.Result, error) {
	f := &Fleet{desc: desc.WithDefaults(), load: load, seed: seed, program: program, dir: dir, host: host, outcomes: map[string]chan bool{}}
	book, err := fleetsim.NewAccounting(desc, load)
	if err != nil {
		return nil, err
	}
	next, err := fleetsim.Arrivals(desc, load, seed)
	if err != nil {
		return nil, err
	}
	defer f.end()
	if err := f.begin(); err != nil {
		return nil, err
	}
	f.start = time.Now()
	f.scheduleFaults()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := 0; ; n++ {
		a, ok := next()
		if !ok {
			break
		}
		time.Sleep(time.Until(f.start.Add(a.At)))
		mu.Lock()
		ended := book.RecordRequest(a)
		mu.Unlock()
		all.Go(func() {
			ok, took := f.client(client, a, n)
			mu.Lock()
			ended(ok, took)
			mu.Unlock()
		})
	}
	all.Wait()
	return book.Result(), nil
}

// client makes a request and repeats it as the load says; it tells whether it was served, and when after its arrival.
func (f *Fleet) client(client *http.Client, a fleetsim.Arrival, n int) (bool, time.Duration) {
	c, u := f.desc.Classes[a.Class], f.desc.Tenants[a.Tenant]
	came := time.Now()
	until := came.Add(dur(c.DeadlineSeconds))
	for try := 0; ; try++ {
		left := time.Until(until)
		ctx, cancel := context.WithDeadline(context.Background(), until)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.dispatchers[a.Dispatcher].address+"/"+c.Name, strings.NewReader(strconv.FormatFloat(a.WorkSeconds, 'g', -1, 64)))
		req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", f.seed, n, try))
		req.Header.Set("X-Priority-Class", c.Name)
		req.Header.Set("X-Tenant-Id", u.Name)
		req.Header.Set("X-Timeout", strconv.FormatFloat(left.Seconds(), 'f', 4, 64))
		if c.Idempotency == "keyed" {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", n+1))
		}
		if try > 0 {
			req.Header.Set("X-Retried", "1")
		}
		resp, err := client.Do(req)
		status, after := 0, 0.0
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
			after, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		}
		cancel()
		if err == nil && status == 200 {
			return true, time.Since(came)
		}
		wait := dur(f.load.Retries.WaitMs / 1000)
		if f.load.Retries.HonourRetryAfter {
			wait = max(wait, dur(after))
		}
		if try >= f.load.Retries.Max || time.Now().Add(wait).After(until) {
			return false, time.Since(came)
		}
		time.Sleep(wait)
	}
}
