package simcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	platformAddress  = "10.200.0.1:8040"
	platformIP       = "10.200.0.1"
	platformRate     = 47 // calls a second
	platformLag      = 800 * time.Millisecond
	platformPageSize = 5
	stateReady       = "ready"
	stateDraining    = "draining"
)

// instance is an entry of the platform's list.
type instance struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup-left-ms"`
}

// listPage is a page of the list.
type listPage struct {
	Instances []instance `json:"instances"`
	NextToken *string    `json:"next-token"`
}

// Platform simulates the platform's list of workers. The list lags behind the workers, comes in pages, and allows
// only so many calls a second.
type Platform struct {
	cluster *Cluster
	server  *http.Server

	mutex   sync.Mutex
	listed  []instance // as shown
	tokens  float64
	counted time.Time
	down    bool
}

func newPlatform(c *Cluster) *Platform {
	p := &Platform{cluster: c, tokens: platformRate, counted: time.Now()}
	p.server = &http.Server{Handler: p}
	listener, err := c.network.Host(platformIP).Listen(platformAddress)
	assert.NilError(c.t, err)
	go func() { _ = p.server.Serve(listener) }()
	return p
}

func (p *Platform) close() { _ = p.server.Close() }

// SetDown makes the platform answer 503, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// add adds an entry at once, as it was before the system started.
func (p *Platform) add(entry instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listed = append(p.listed, entry)
}

// updateAfterLag applies a change of a worker's entry once the list's lag has passed. An empty state removes the
// entry.
func (p *Platform) updateAfterLag(entry instance) {
	p.cluster.helpers.Go(func() {
		select {
		case <-p.cluster.ctx.Done():
		case <-time.After(platformLag):
			p.update(entry)
		}
	})
}

// update replaces or removes an entry, and records workers that drain or depart.
func (p *Platform) update(entry instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := make([]instance, 0, len(p.listed)+1)
	for _, other := range p.listed {
		if other.ID != entry.ID {
			kept = append(kept, other)
		}
	}
	if entry.State != "" {
		kept = append(kept, entry)
	}
	p.listed = kept
	if entry.State != stateReady {
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
	page := listPage{Instances: p.listed[begin:end]}
	if end < len(p.listed) {
		token := fmt.Sprintf("p-%d", end)
		page.NextToken = &token
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}

// allow takes one call from the token bucket.
func (p *Platform) allow() bool {
	now := time.Now()
	p.tokens = min(p.tokens+platformRate*now.Sub(p.counted).Seconds(), platformRate)
	p.counted = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}
