package soak

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"gladepick/internal/standin"
)

// platform is a stand-in of the platform's list of workers. It lists every worker on one page.
type platform struct {
	calls *rate.Limiter

	mutex   sync.Mutex
	workers []*worker
}

func newPlatform() *platform {
	return &platform{calls: rate.NewLimiter(platformCallsPerS, platformCallsPerS)}
}

// serve serves the list at an address of its own until the listener is closed.
func (p *platform) serve(ip string) (net.Listener, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	router := mux.NewRouter()
	router.Path("/instances").Methods(http.MethodGet).HandlerFunc(p.serveInstances)
	go func() { _ = http.Serve(listener, router) }()
	return listener, nil
}

// add adds a worker to the list.
func (p *platform) add(added *worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = append(p.workers, added)
}

func (p *platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	if !p.calls.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	page := standin.InstancePage{Instances: []standin.Instance{}}
	for _, each := range p.workers {
		page.Instances = append(page.Instances, standin.Instance{
			ID: each.id, Service: each.service, Address: each.address(), Zone: each.zone, Version: "v1",
			Capacity: each.capacity, State: standin.StateReady,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page) // fails only if the caller has gone
}
