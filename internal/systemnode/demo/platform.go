package demo

import (
	"encoding/json"
	"net/http"
)

// instance is an entry of the platform's worker list.
type instance struct {
	ID           string `json:"id"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	Zone         string `json:"zone"`
	Version      string `json:"version"`
	Capacity     int    `json:"capacity"`
	State        string `json:"state"`
	WarmupLeftMS int    `json:"warmup-left-ms"`
}

// newWorkerListHandler returns the handler that serves the platform's worker list as a single page.
func newWorkerListHandler(workers []*worker) http.Handler {
	page := struct {
		Instances []instance `json:"instances"`
		NextToken *string    `json:"next-token"`
	}{}
	for _, worker := range workers {
		page.Instances = append(page.Instances, instance{
			ID:       worker.id,
			Service:  service,
			Address:  worker.address,
			Zone:     worker.zone,
			Version:  workerVersion,
			Capacity: workerCapacity,
			State:    "ready",
		})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(page) // a write fails only if the client has disconnected
	})
}

// platformAddress returns the address of the worker list.
func (s *system) platformAddress() string { return s.hostAddress(portPlatform) }
