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
	loadBalancerIP      = "10.6.0.1"
	healthCheckInterval = time.Second
	maxFailedChecks     = 2 // a front that fails so many health checks in a row gets no new connections
	readyPath           = "/api/ready"
)

// loadBalancer distributes clients' requests over the fronts that are ready, as the platform's load balancer does.
// One goroutine checks the health of all fronts once in a healthCheckInterval.
type loadBalancer struct {
	cluster *Cluster
	client  *http.Client

	mutex        sync.Mutex
	failedChecks map[*Machine]int
}

func newLoadBalancer(c *Cluster) *loadBalancer {
	e := &loadBalancer{cluster: c, client: c.newHTTPClient(loadBalancerIP), failedChecks: make(map[*Machine]int)}
	for _, front := range c.machinesOf(classFront) {
		e.failedChecks[front] = maxFailedChecks
	}
	c.helpers.Go(e.run)
	return e
}

func (e *loadBalancer) run() {
	for e.cluster.ctx.Err() == nil {
		var probing sync.WaitGroup
		for _, front := range e.cluster.machinesOf(classFront) {
			probing.Go(func() { e.checkHealth(front) })
		}
		select {
		case <-e.cluster.ctx.Done():
		case <-time.After(healthCheckInterval):
		}
		probing.Wait()
	}
}

// checkHealth asks a front once whether it is ready.
func (e *loadBalancer) checkHealth(front *Machine) {
	ctx, cancel := context.WithTimeout(e.cluster.ctx, healthCheckInterval)
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
		e.failedChecks[front] = 0
		return
	}
	e.failedChecks[front]++
}

// ready returns the fronts that take new connections. If fewer than half do, it returns all: failing open, as the
// platform does.
func (e *loadBalancer) ready() []*Machine {
	all := e.cluster.machinesOf(classFront)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var in []*Machine
	for _, front := range all {
		if e.failedChecks[front] < maxFailedChecks {
			in = append(in, front)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// allReady tells whether all fronts are ready.
func (e *loadBalancer) allReady() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, misses := range e.failedChecks {
		if misses > 0 {
			return false
		}
	}
	return true
}

// pick draws one of the fronts that take new connections.
func (e *loadBalancer) pick() *Machine {
	ready := e.ready()
	return ready[e.cluster.random.intN(len(ready))]
}

// isDialError tells whether a request failed because no connection was established, so that no byte was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
