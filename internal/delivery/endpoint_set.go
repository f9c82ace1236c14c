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

// staticPrefix marks the ids of static endpoints. They are not on the list of workers.
const staticPrefix = "static "

// endpointSet holds the endpoints of all services. A worker that has left is removed, but its attempts in flight still
// refer to its endpoint.
type endpointSet struct {
	dial  dialer
	zones map[string]int // number of each zone; the store's zone is 0

	mutex  sync.Mutex // guards latest and byID; only the event loop changes byID
	latest []cluster.Worker
	byID   map[string]*endpoint

	byWorkerID map[decision.WorkerID]*endpoint // owned by the event loop
}

func newEndpointSet(options Options) *endpointSet {
	return &endpointSet{
		dial:       newDialer(options),
		zones:      map[string]int{options.Zone: 0},
		byID:       make(map[string]*endpoint),
		byWorkerID: make(map[decision.WorkerID]*endpoint),
	}
}

// publish sets the list of workers. Once it has returned, no attempt is sent to a worker that is not ready on the list,
// even if the event loop has not applied the list yet.
func (s *endpointSet) publish(workers []cluster.Worker) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latest = workers
	s.markUnavailable()
}

// markUnavailable marks the endpoints whose workers are not ready on the latest list. The caller holds the mutex.
func (s *endpointSet) markUnavailable() {
	ready := make(map[string]cluster.Worker, len(s.latest))
	for _, worker := range s.latest {
		if !worker.Draining {
			ready[worker.ID] = worker
		}
	}
	for id, existing := range s.byID {
		listed, found := ready[id]
		if !existing.static && (!found || listed.Address != existing.worker.Address) {
			existing.unavailable.Store(true)
		}
	}
}

// reconcile adds, replaces and removes endpoints to match the latest list.
func (s *endpointSet) reconcile() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.markUnavailable()
	listed := make(map[string]bool, len(s.latest))
	for _, worker := range slices.SortedFunc(slices.Values(s.latest), compareWorkerIDs) {
		listed[worker.ID] = true
		s.upsert(worker)
	}
	for id, existing := range s.byID {
		if !existing.static && !listed[id] {
			s.remove(id, existing)
		}
	}
}

func compareWorkerIDs(a, b cluster.Worker) int { return cmp.Compare(a.ID, b.ID) }

// upsert adds or updates a worker of the list. A worker that has moved, or that is back after it was unavailable, gets
// a new endpoint, so that attempts in flight at the old endpoint still see that it is unavailable.
func (s *endpointSet) upsert(worker cluster.Worker) {
	existing := s.byID[worker.ID]
	moved := existing != nil && (existing.worker.Address != worker.Address || existing.worker.Service != worker.Service)
	returned := existing != nil && existing.unavailable.Load() && !worker.Draining && existing.misdirectedUntil == 0
	if existing != nil && !moved && !returned {
		existing.worker = worker
		return
	}
	if existing != nil {
		s.remove(worker.ID, existing)
	}
	added := s.add(worker.ID, worker)
	added.unavailable.Store(worker.Draining)
}

// add creates an endpoint. Its worker id is the hash of its id, or the next free number if that one is taken.
func (s *endpointSet) add(id string, worker cluster.Worker) *endpoint {
	added := &endpoint{worker: worker, workerID: stableHash(id), zone: s.zoneOf(worker.Zone), idleTimeout: maxIdleTimeout}
	for s.byWorkerID[added.workerID] != nil {
		added.workerID++
	}
	s.byID[id], s.byWorkerID[added.workerID] = added, added
	return added
}

func (s *endpointSet) remove(id string, existing *endpoint) {
	existing.unavailable.Store(true)
	existing.closeIdle()
	delete(s.byID, id)
	delete(s.byWorkerID, existing.workerID)
}

func (s *endpointSet) zoneOf(zone string) int {
	number, found := s.zones[zone]
	if !found {
		number = len(s.zones)
		s.zones[zone] = number
	}
	return number
}

// byService returns the endpoints of listed workers by the name of their service, sorted by worker id.
func (s *endpointSet) byService() map[string][]*endpoint {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := make(map[string][]*endpoint)
	for _, existing := range s.byID {
		if !existing.static {
			found[existing.worker.Service] = append(found[existing.worker.Service], existing)
		}
	}
	for _, workers := range found {
		slices.SortFunc(workers, func(a, b *endpoint) int { return cmp.Compare(a.workerID, b.workerID) })
	}
	return found
}

// staticEndpoint returns the static endpoint of a service. It creates the endpoint if there is none.
func (s *endpointSet) staticEndpoint(service *configuration.Service) *endpoint {
	id := staticPrefix + service.Name + " " + service.StaticEndpoint
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if existing := s.byID[id]; existing != nil {
		return existing
	}
	added := s.add(id, cluster.Worker{ID: id, Service: service.Name, Address: service.StaticEndpoint})
	added.static = true
	return added
}

// removeUnusedStatic removes the static endpoints that no service uses any more.
func (s *endpointSet) removeUnusedStatic(used map[*endpoint]bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, existing := range s.byID {
		if existing.static && !used[existing] {
			s.remove(id, existing)
		}
	}
}

func (s *endpointSet) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, existing := range s.byID {
		existing.closeIdle()
	}
}

// stableHash returns the number by which the decision module knows a worker or a route. It depends on the name alone
// and is the same in all processes.
func stableHash(name string) decision.WorkerID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return decision.WorkerID(hash.Sum32())
}
