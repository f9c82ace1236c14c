// A fleet on loopback for checking the planner. Over real sockets it has workers with service times, slots, queues,
// slow starts and shared machines, discovery with delays, and clients that send without waiting for earlier answers.
// Each dispatcher is a process of the real program. The fleet follows the same description as the simulation, and
// shares with it only how requests are drawn and counted.

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

// Fleet is a fleet that runs on loopback as its description says.
type Fleet struct {
	desc             *fleetsim.Fleet
	load             *fleetsim.Load
	seed             uint64
	program          string
	dir              string // directory of the configurations and captures
	host             int    // second octet of the addresses 127.host.x.y; concurrent runs use different ones
	startedAt        time.Time
	workers          []*machine
	dispatchers      []*dispatcherProcess
	mu               sync.Mutex
	outcomes         map[string]chan bool // by key, of jobs that ran or run: closed when done
	extraReportDelay atomic.Int64         // additional delay of load reports, in ns
}

// dispatcherProcess is a dispatcher process with a discovery server of its own.
type dispatcherProcess struct {
	zone       string
	address    string
	discovery  *DiscoveryServer
	server     *http.Server
	process    *exec.Cmd
	generation int64
}

// dur converts seconds to a time.Duration.
func dur(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// RunOnSockets runs a load on a fleet in real time and returns the accounting. program is the path of the dispatcher's
// binary. dir receives the configurations, and the captures below capture-N. host is a number from 1 to 250 that no
// other concurrent run uses.
func RunOnSockets(desc *fleetsim.Fleet, load *fleetsim.Load, seed uint64, program, dir string, host int) (*fleetsim.Result, error) {
	f := &Fleet{desc: desc.WithDefaults(), load: load, seed: seed, program: program, dir: dir, host: host, outcomes: map[string]chan bool{}}
	accounting, err := fleetsim.NewAccounting(desc, load)
	if err != nil {
		return nil, err
	}
	next, err := fleetsim.Arrivals(desc, load, seed)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return nil, err
	}
	f.startedAt = time.Now()
	f.scheduleFaults()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := 0; ; n++ {
		arrival, ok := next()
		if !ok {
			break
		}
		time.Sleep(time.Until(f.startedAt.Add(arrival.At)))
		mu.Lock()
		ended := accounting.RecordRequest(arrival)
		mu.Unlock()
		all.Go(func() {
			ok, took := f.client(client, arrival, n)
			mu.Lock()
			ended(ok, took)
			mu.Unlock()
		})
	}
	all.Wait()
	return accounting.Result(), nil
}

// client sends a request and retries it as the load says. It reports whether the request was served, and how long after
// its arrival it ended.
func (f *Fleet) client(client *http.Client, arrival fleetsim.Arrival, n int) (bool, time.Duration) {
	class, tenant := f.desc.Classes[arrival.Class], f.desc.Tenants[arrival.Tenant]
	arrivedAt := time.Now()
	deadline := arrivedAt.Add(dur(class.DeadlineSeconds))
	for try := 0; ; try++ {
		left := time.Until(deadline)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.dispatchers[arrival.Dispatcher].address+"/"+class.Name, strings.NewReader(strconv.FormatFloat(arrival.WorkSeconds, 'g', -1, 64)))
		req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", f.seed, n, try))
		req.Header.Set("X-Priority-Class", class.Name)
		req.Header.Set("X-Tenant-Id", tenant.Name)
		req.Header.Set("X-Timeout", strconv.FormatFloat(left.Seconds(), 'f', 4, 64))
		if class.Idempotency == "keyed" {
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
			return true, time.Since(arrivedAt)
		}
		wait := dur(f.load.Retries.WaitMs / 1000)
		if f.load.Retries.HonourRetryAfter {
			wait = max(wait, dur(after))
		}
		if try >= f.load.Retries.Max || time.Now().Add(wait).After(deadline) {
			return false, time.Since(arrivedAt)
		}
		time.Sleep(wait)
	}
}
