package simcluster

import (
	"fmt"
	"strings"
	"time"
)

const (
	stormRoutePrefix = "storm-"
	limitedRoute     = "limited" // its service has a rate limit
)

// releaseAddress is where the successor of a released worker runs.
func releaseAddress(number int) string { return fmt.Sprintf("10.3.100.%d", number+1) }

// withStormRoutes returns the routes together with the two newest routes of the configuration storm.
func withStormRoutes(routes []Route, number int) []Route {
	var kept []Route
	for _, route := range routes {
		if !strings.HasPrefix(route.Name, stormRoutePrefix) {
			kept = append(kept, route)
		}
	}
	for i := max(0, number-1); i <= number; i++ {
		kept = append(kept, Route{
			Name: fmt.Sprintf("%s%d", stormRoutePrefix, i), Service: "plain", MaxAttempts: 6, Timeout: time.Second,
			Retention: 90 * time.Second, Weight: 1,
		})
	}
	return kept
}

// logPlacement logs the cluster table.
func (c *Cluster) logPlacement() {
	table := c.Table()
	for _, store := range table.Stores {
		c.t.Logf("%v: store %s: %s", c.recorder.now(), store.Name, store.State)
	}
	for _, partition := range table.Partitions {
		c.t.Logf("partition %d, epoch %d: %v, wanted %q", partition.ID, partition.Epoch, partition.Replicas, partition.PreferredPrimary)
	}
}

// workerAddresses returns where workers run.
func workerAddresses(workers []*Worker) []string {
	var addresses []string
	for _, worker := range workers {
		addresses = append(addresses, worker.ip)
	}
	return addresses
}

// reuseAddress starts a worker of another service at the address of one that has stopped.
func reuseAddress(c *Cluster, address string) {
	started := c.services["orders"].start(address)
	c.Platform.updateAfterLag(started.entry)
}

// rateLimitRoutes send most messages to the service with the rate limit.
func rateLimitRoutes() []Route {
	routes := DefaultRoutes()
	for i := range routes {
		routes[i].Weight = 1
		if routes[i].Name == limitedRoute {
			routes[i].Weight = 10
		}
	}
	return routes
}

// expiryRoutes keep messages for the endpoint for a short time.
func expiryRoutes() []Route {
	routes := DefaultRoutes()
	for i := range routes {
		if routes[i].Service == "endpoint" {
			routes[i].Retention, routes[i].Ordered, routes[i].Keys, routes[i].Weight = 4*time.Second, true, 5, 6
		}
	}
	return routes
}
