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

// Platform stands in for the platform's list of workers. The list is behind by a lag, comes in pages, and may be
// asked for only so often.
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

// SetDown decides whether the platform answers 503.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
}

// list shows an entry at once, as it was before the system started.
func (p *Platform) list(entry instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listed = append(p.listed, entry)
}

// change shows a change of a worker's entry after the lag. An empty state takes it off the list.
func (p *Platform) change(entry instance) {
	p.cluster.helpers.Go(func() {
		select {
		case <-p.cluster.ctx.Done():
		case <-time.After(platformLag):
			p.show(entry)
		}
	})
}

func (p *Platform) show(entry instance) {
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
			history.Departing = append(history.Departing, Departure{Worker: entry.ID, ShownAt: recorder.now()})
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

// allow takes a call from what the rate allows.
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
