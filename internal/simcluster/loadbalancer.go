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
	maxFailedChecks     = 2 // after this many failed health checks in a row, a front gets no new connections
	readyPath           = "/api/ready"
)

// loadBalancer distributes the clients' requests over the fronts that are ready, like the load balancer of the
// platform. It checks the health of all fronts every healthCheckInterval.
type loadBalancer struct {
	cluster *Cluster
	client  *http.Client

	mutex        sync.Mutex
	failedChecks map[*Machine]int
}

func newLoadBalancer(c *Cluster) *loadBalancer {
	b := &loadBalancer{cluster: c, client: c.newHTTPClient(loadBalancerIP), failedChecks: make(map[*Machine]int)}
	for _, front := range c.machinesOf(classFront) {
		b.failedChecks[front] = maxFailedChecks
	}
	c.helpers.Go(b.run)
	return b
}

func (b *loadBalancer) run() {
	for b.cluster.ctx.Err() == nil {
		var checks sync.WaitGroup
		for _, front := range b.cluster.machinesOf(classFront) {
			checks.Go(func() { b.checkHealth(front) })
		}
		select {
		case <-b.cluster.ctx.Done():
		case <-time.After(healthCheckInterval):
		}
		checks.Wait()
	}
}

// checkHealth sends one health check to a front and counts the result.
func (b *loadBalancer) checkHealth(front *Machine) {
	ctx, cancel := context.WithTimeout(b.cluster.ctx, healthCheckInterval)
	defer cancel()
	ready := false
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+front.address(readyPort)+readyPath, nil)
	if err == nil {
		if response, err := b.client.Do(request); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if ready {
		b.failedChecks[front] = 0
		return
	}
	b.failedChecks[front]++
}

// ready returns the fronts that get new connections. If fewer than half of all fronts are ready, it returns all of
// them: the load balancer fails open, as the platform's does.
func (b *loadBalancer) ready() []*Machine {
	all := b.cluster.machinesOf(classFront)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var available []*Machine
	for _, front := range all {
		if b.failedChecks[front] < maxFailedChecks {
			available = append(available, front)
		}
	}
	if 2*len(available) < len(all) {
		return all
	}
	return available
}

// allReady reports whether the last health check of every front succeeded.
func (b *loadBalancer) allReady() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, failures := range b.failedChecks {
		if failures > 0 {
			return false
		}
	}
	return true
}

// pick returns one of the fronts that get new connections, at random.
func (b *loadBalancer) pick() *Machine {
	ready := b.ready()
	return ready[b.cluster.random.intN(len(ready))]
}

// isDialError reports whether a request failed because no connection was established, so that no byte of it was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
