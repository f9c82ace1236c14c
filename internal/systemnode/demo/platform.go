package demo

import (
	"encoding/json"
	"net/http"

	"gladepick/internal/standin"
)

// newWorkerListHandler returns the handler that serves the platform's worker list as a single page.
func newWorkerListHandler(workers []*worker) http.Handler {
	var page standin.InstancePage
	for _, worker := range workers {
		page.Instances = append(page.Instances, standin.Instance{
			ID:       worker.id,
			Service:  service,
			Address:  worker.address,
			Zone:     worker.zone,
			Version:  workerVersion,
			Capacity: workerCapacity,
			State:    standin.StateReady,
		})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(page) // a write fails only if the client has disconnected
	})
}

// platformAddress returns the address of the worker list.
func (s *system) platformAddress() string { return s.hostAddress(portPlatform) }
