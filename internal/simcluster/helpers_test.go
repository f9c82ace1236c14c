package simcluster

import (
	"fmt"
	"strings"
	"time"
)

const (
	stormRoutePrefix = "storm-"
	rateLimitedRoute = "limited" // its service has a rate limit
)

// replacementAddress returns the IP address for the replacement of a released worker.
func replacementAddress(number int) string { return fmt.Sprintf("10.3.100.%d", number+1) }

// withNewestStormRoutes returns the routes with the storm routes replaced by those of this step and the one before it.
func withNewestStormRoutes(routes []Route, step int) []Route {
	var kept []Route
	for _, route := range routes {
		if !strings.HasPrefix(route.Name, stormRoutePrefix) {
			kept = append(kept, route)
		}
	}
	for i := max(0, step-1); i <= step; i++ {
		kept = append(kept, Route{
			Name: fmt.Sprintf("%s%d", stormRoutePrefix, i), Service: "plain", MaxAttempts: 6, Timeout: time.Second,
			Retention: 90 * time.Second, Weight: 1,
		})
	}
	return kept
}

// logTable logs the stores and partitions of the cluster table.
func (c *Cluster) logTable() {
	table := c.Table()
	for _, store := range table.Stores {
		c.t.Logf("%v: store %s: %s", c.recorder.now(), store.Name, store.State)
	}
	for _, partition := range table.Partitions {
		c.t.Logf("partition %d, epoch %d: replicas %v, preferred primary %q", partition.ID, partition.Epoch,
			partition.Replicas, partition.PreferredPrimary)
	}
}

// workerAddresses returns the IP addresses of workers.
func workerAddresses(workers []*Worker) []string {
	var addresses []string
	for _, worker := range workers {
		addresses = append(addresses, worker.ip)
	}
	return addresses
}

// startOtherServiceAt starts a worker of the service "orders" at the IP address of a stopped worker of another service.
func startOtherServiceAt(c *Cluster, address string) {
	started := c.services["orders"].start(address)
	c.Platform.updateAfterLag(started.entry)
}

// mostlyRateLimitedRoutes returns the default routes, weighted so that most messages go to the rate-limited service.
func mostlyRateLimitedRoutes() []Route {
	routes := DefaultRoutes()
	for i := range routes {
		routes[i].Weight = 1
		if routes[i].Name == rateLimitedRoute {
			routes[i].Weight = 10
		}
	}
	return routes
}

// shortRetentionRoutes returns the default routes with an ordered route to the endpoint that retains messages for 4 s.
func shortRetentionRoutes() []Route {
	routes := DefaultRoutes()
	for i := range routes {
		if routes[i].Service == "endpoint" {
			routes[i].Retention, routes[i].Ordered, routes[i].Keys, routes[i].Weight = 4*time.Second, true, 5, 6
		}
	}
	return routes
}
