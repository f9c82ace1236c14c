package simcluster

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	entryIP       = "10.6.0.1"
	probeInterval = time.Second
	missesAllowed = 2 // a front that misses so many probes in a row gets nothing new
	readyPath     = "/api/ready"
)

// entry deals clients' requests out among the fronts that are ready, as the platform does.
type entry struct {
	cluster *Cluster
	client  *http.Client

	mutex  sync.Mutex
	misses map[*Machine]int
}

func newEntry(c *Cluster) *entry {
	e := &entry{cluster: c, client: c.newHTTPClient(entryIP), misses: make(map[*Machine]int)}
	for _, front := range c.machinesOf(classFront) {
		e.misses[front] = missesAllowed
	}
	c.helpers.Go(e.run)
	return e
}

func (e *entry) run() {
	for e.cluster.ctx.Err() == nil {
		var probing sync.WaitGroup
		for _, front := range e.cluster.machinesOf(classFront) {
			probing.Go(func() { e.probe(front) })
		}
		select {
		case <-e.cluster.ctx.Done():
		case <-time.After(probeInterval):
		}
		probing.Wait()
	}
}

// probe asks a front whether it is ready.
func (e *entry) probe(front *Machine) {
	ctx, cancel := context.WithTimeout(e.cluster.ctx, probeInterval)
	defer cancel()
	ready := false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.address(readyPort)+readyPath, nil)
	if err == nil {
		if response, err := e.client.Do(request); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ready {
		e.misses[front] = 0
		return
	}
	e.misses[front]++
}

// ready returns the fronts that take new connections; if fewer than half do, it returns all.
func (e *entry) ready() []*Machine {
	all := e.cluster.machinesOf(classFront)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var in []*Machine
	for _, front := range all {
		if e.misses[front] < missesAllowed {
			in = append(in, front)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// allIn tells whether all fronts are ready.
func (e *entry) allIn() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, misses := range e.misses {
		if misses > 0 {
			return false
		}
	}
	return true
}

// pick draws one of the fronts that take new connections.
func (e *entry) pick() *Machine {
	ready := e.ready()
	return ready[e.cluster.random.intN(len(ready))]
}

// isDialError tells whether a request failed as no connection came up.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
