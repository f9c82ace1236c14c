package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// platform is a stand-in of the platform's list of workers. It lists every worker on one page.
type platform struct {
	mutex   sync.Mutex
	workers []*worker
	calls   []time.Time // within the last second
}

const platformCallsPerSecond = 47

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

// listen serves the list and returns its address.
func (p *platform) listen(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, p) }()
	return listener.Addr().String(), nil
}

func (p *platform) add(w *worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = append(p.workers, w)
}

// ServeHTTP answers GET /instances.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := time.Now()
	for len(p.calls) > 0 && now.Sub(p.calls[0]) > time.Second {
		p.calls = p.calls[1:]
	}
	if len(p.calls) >= platformCallsPerSecond {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.calls = append(p.calls, now)
	page := struct {
		Instances []instance `json:"instances"`
		NextToken *string    `json:"next-token"`
	}{Instances: []instance{}}
	for _, each := range p.workers {
		page.Instances = append(page.Instances, instance{
			ID: each.id, Service: each.service, Address: each.address, Zone: each.zone, Version: "v1",
			Capacity: each.capacity, State: "ready",
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
