package delivery

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"

	"gladepick/internal/cluster"
	"gladepick/internal/configuration"
	"gladepick/internal/decision"
)

// staticPrefix marks the ids of static endpoints, which are on no list.
const staticPrefix = "static "

// endpointSet holds the endpoints of all services. Workers that have left are in no set any more, but attempts in flight
// keep theirs.
type endpointSet struct {
	dial  dialer
	zones map[string]int // the own zone is 0

	mutex  sync.Mutex // guards latest and byID; the event loop alone changes byID
	latest []cluster.Worker
	byID   map[string]*endpoint

	byWorkerID map[decision.WorkerID]*endpoint // belongs to the event loop
}

func newEndpointSet(options Options) *endpointSet {
	return &endpointSet{
		dial:       newDialer(options),
		zones:      map[string]int{options.Zone: 0},
		byID:       make(map[string]*endpoint),
		byWorkerID: make(map[decision.WorkerID]*endpoint),
	}
}

// publish takes over a new list. From now on no attempt is sent to workers that are not ready on it, even if the event loop
// has not seen the list yet.
func (s *endpointSet) publish(workers []cluster.Worker) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latest = workers
	s.markUnavailable()
}

// markUnavailable marks the workers that the latest list does not show as ready. The mutex is held.
func (s *endpointSet) markUnavailable() {
	ready := make(map[string]cluster.Worker, len(s.latest))
	for _, worker := range s.latest {
		if !worker.Draining {
			ready[worker.ID] = worker
		}
	}
	for id, known := range s.byID {
		listed, found := ready[id]
		if !known.static && (!found || listed.Address != known.worker.Address) {
			known.unavailable.Store(true)
		}
	}
}

// reconcile brings the endpoints in line with the latest list.
func (s *endpointSet) reconcile() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.markUnavailable()
	listed := make(map[string]bool, len(s.latest))
	for _, worker := range slices.SortedFunc(slices.Values(s.latest), compareWorkerIDs) {
		listed[worker.ID] = true
		s.upsert(worker)
	}
	for id, known := range s.byID {
		if !known.static && !listed[id] {
			s.remove(id, known)
		}
	}
}

func compareWorkerIDs(a, b cluster.Worker) int { return cmp.Compare(a.ID, b.ID) }

// upsert adds or updates one worker of the list. A worker that moved, or is back after it was unavailable, becomes a new
// endpoint: attempts in flight to the old one still see that it left.
func (s *endpointSet) upsert(worker cluster.Worker) {
	known := s.byID[worker.ID]
	moved := known != nil && (known.worker.Address != worker.Address || known.worker.Service != worker.Service)
	returned := known != nil && known.unavailable.Load() && !worker.Draining && known.misdirectedUntil == 0
	if known != nil && !moved && !returned {
		known.worker = worker
		return
	}
	if known != nil {
		s.remove(worker.ID, known)
	}
	fresh := s.add(worker.ID, worker)
	fresh.unavailable.Store(worker.Draining)
}

// add makes an endpoint. Its worker id is a hash of the worker's name, except where two have the same.
func (s *endpointSet) add(id string, worker cluster.Worker) *endpoint {
	fresh := &endpoint{worker: worker, workerID: stableHash(id), zone: s.zoneOf(worker.Zone), idleTimeout: maxIdleTimeout}
	for s.byWorkerID[fresh.workerID] != nil {
		fresh.workerID++
	}
	s.byID[id], s.byWorkerID[fresh.workerID] = fresh, fresh
	return fresh
}

func (s *endpointSet) remove(id string, known *endpoint) {
	known.unavailable.Store(true)
	known.closeIdle()
	delete(s.byID, id)
	delete(s.byWorkerID, known.workerID)
}

func (s *endpointSet) zoneOf(zone string) int {
	number, known := s.zones[zone]
	if !known {
		number = len(s.zones)
		s.zones[zone] = number
	}
	return number
}

// byService returns the endpoints on the list by the names of their services, in the order of their worker ids.
func (s *endpointSet) byService() map[string][]*endpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := make(map[string][]*endpoint)
	for _, known := range s.byID {
		if !known.static {
			found[known.worker.Service] = append(found[known.worker.Service], known)
		}
	}
	for _, workers := range found {
		slices.SortFunc(workers, func(a, b *endpoint) int { return cmp.Compare(a.workerID, b.workerID) })
	}
	return found
}

// staticEndpoint returns a service's static endpoint, and makes it if there is none.
func (s *endpointSet) staticEndpoint(service *configuration.Service) *endpoint {
	id := staticPrefix + service.Name + " " + service.StaticEndpoint
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known := s.byID[id]; known != nil {
		return known
	}
	fresh := s.add(id, cluster.Worker{ID: id, Service: service.Name, Address: service.StaticEndpoint})
	fresh.static = true
	return fresh
}

// removeUnusedStatic removes the static endpoints that no service has any more.
func (s *endpointSet) removeUnusedStatic(used map[*endpoint]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, known := range s.byID {
		if known.static && !used[known] {
			s.remove(id, known)
		}
	}
}

func (s *endpointSet) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, known := range s.byID {
		known.closeIdle()
	}
}

// stableHash makes the decision module's number of a worker or a route from its name, alike in all processes.
func stableHash(name string) decision.WorkerID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return decision.WorkerID(hash.Sum32())
}
