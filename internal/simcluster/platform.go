package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/standin"
)

const (
	platformAddress  = "10.200.0.1:8040"
	platformIP       = "10.200.0.1"
	platformRate     = 47 // calls per second
	platformLag      = 800 * time.Millisecond
	platformPageSize = 5
	stateDraining    = "draining"
)

// Platform simulates the platform's list of workers. The list lags behind the workers by platformLag, is served in
// pages of platformPageSize, and allows platformRate calls per second.
type Platform struct {
	cluster *Cluster
	server  *http.Server

	mutex      sync.Mutex
	listed     []standin.Instance // the list that calls return
	tokens     float64
	refilledAt time.Time
	down       bool
}

func newPlatform(c *Cluster) *Platform {
	p := &Platform{cluster: c, tokens: platformRate, refilledAt: time.Now()}
	p.server = &http.Server{Handler: p}
	listener, err := c.network.Host(platformIP).Listen(platformAddress)
	assert.NilError(c.t, err)
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *Platform) close() { _ = p.server.Close() }

// SetDown sets whether the platform answers every call with 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// add lists a worker at once, for workers that run before the system starts.
func (p *Platform) add(entry standin.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listed = append(p.listed, entry)
}

// updateAfterLag applies the new entry of a worker to the list after platformLag. An entry with an empty state removes
// the worker from the list.
func (p *Platform) updateAfterLag(entry standin.Instance) {
	p.cluster.background.Go(func() {
		select {
		case <-p.cluster.ctx.Done():
		case <-time.After(platformLag):
			p.update(entry)
		}
	})
}

// update replaces or removes the entry of a worker, and records a Departure if the worker is no longer ready.
func (p *Platform) update(entry standin.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := make([]standin.Instance, 0, len(p.listed)+1)
	for _, other := range p.listed {
		if other.ID != entry.ID {
			kept = append(kept, other)
		}
	}
	if entry.State != "" {
		kept = append(kept, entry)
	}
	p.listed = kept
	if entry.State != standin.StateReady {
		recorder := p.cluster.recorder
		recorder.write(func(history *History) {
			history.Departures = append(history.Departures, Departure{Worker: entry.ID, ShownAt: recorder.now()})
		})
	}
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !p.allow() {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	begin := 0
	_, _ = fmt.Sscanf(request.URL.Query().Get("page-token"), "p-%d", &begin)
	begin = min(begin, len(p.listed))
	end := min(begin+platformPageSize, len(p.listed))
	page := standin.InstancePage{Instances: p.listed[begin:end]}
	if end < len(p.listed) {
		token := fmt.Sprintf("p-%d", end)
		page.NextToken = &token
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}

// allow takes one call from the token bucket, and reports whether there was one. The caller holds the mutex.
func (p *Platform) allow() bool {
	now := time.Now()
	p.tokens = min(p.tokens+platformRate*now.Sub(p.refilledAt).Seconds(), platformRate)
	p.refilledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
