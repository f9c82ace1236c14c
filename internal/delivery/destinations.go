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

// destinations holds all workers that messages may be sent to, and those that attempts are still out to.
type destinations struct {
	dial  dialer
	zones map[string]int // the own zone is 0

	mutex  sync.Mutex // guards what follows; the loop alone changes byID
	latest []cluster.Worker
	byID   map[string]*destination

	byNumber map[decision.WorkerID]*destination
}

func newDestinations(options Options) *destinations {
	return &destinations{
		dial:     newDialer(options),
		zones:    map[string]int{options.Zone: 0},
		byID:     make(map[string]*destination),
		byNumber: make(map[decision.WorkerID]*destination),
	}
}

// publish takes a new list. From now on nothing is sent to workers that are not ready on it.
func (d *destinations) publish(workers []cluster.Worker) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.latest = workers
	d.markLeaving()
}

// markLeaving marks the workers that the latest list does not show as ready. The mutex is held.
func (d *destinations) markLeaving() {
	ready := make(map[string]cluster.Worker, len(d.latest))
	for _, worker := range d.latest {
		if !worker.Draining {
			ready[worker.ID] = worker
		}
	}
	for id, known := range d.byID {
		listed, found := ready[id]
		if !known.static && (!found || listed.Address != known.worker.Address) {
			known.leaving.Store(true)
		}
	}
}

// update brings the destinations in line with the latest list.
func (d *destinations) update() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.markLeaving()
	listed := make(map[string]bool, len(d.latest))
	for _, worker := range slices.SortedFunc(slices.Values(d.latest), byWorkerID) {
		listed[worker.ID] = true
		d.take(worker)
	}
	for id, known := range d.byID {
		if !known.static && !listed[id] {
			d.drop(id, known)
		}
	}
}

func byWorkerID(a, b cluster.Worker) int { return cmp.Compare(a.ID, b.ID) }

// take enters one worker of the list. A worker that moved, or is back after it was leaving, becomes a new destination:
// attempts under way to the old one go on seeing that it left.
func (d *destinations) take(worker cluster.Worker) {
	known := d.byID[worker.ID]
	moved := known != nil && (known.worker.Address != worker.Address || known.worker.Service != worker.Service)
	returned := known != nil && known.leaving.Load() && !worker.Draining && known.wrongUntil == 0
	if known != nil && !moved && !returned {
		known.worker = worker
		return
	}
	if known != nil {
		d.drop(worker.ID, known)
	}
	fresh := d.add(worker.ID, worker)
	fresh.leaving.Store(worker.Draining)
}

// add makes a destination. Its number arises from its id alone, except where two have the same.
func (d *destinations) add(id string, worker cluster.Worker) *destination {
	fresh := &destination{worker: worker, number: numberOf(id), zone: d.zoneOf(worker.Zone), idleTime: longestIdleTime}
	for d.byNumber[fresh.number] != nil {
		fresh.number++
	}
	d.byID[id], d.byNumber[fresh.number] = fresh, fresh
	return fresh
}

func (d *destinations) drop(id string, known *destination) {
	known.leaving.Store(true)
	known.closeIdle()
	delete(d.byID, id)
	delete(d.byNumber, known.number)
}

func (d *destinations) zoneOf(zone string) int {
	number, known := d.zones[zone]
	if !known {
		number = len(d.zones)
		d.zones[zone] = number
	}
	return number
}

// listed returns the destinations of all services that stand on the list, by service and number.
func (d *destinations) listed() map[string][]*destination {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	found := make(map[string][]*destination)
	for _, known := range d.byID {
		if !known.static {
			found[known.worker.Service] = append(found[known.worker.Service], known)
		}
	}
	for _, workers := range found {
		slices.SortFunc(workers, func(a, b *destination) int { return cmp.Compare(a.number, b.number) })
	}
	return found
}

// static returns the destination of a service's static endpoint.
func (d *destinations) static(service *configuration.Service) *destination {
	id := staticPrefix + service.Name + " " + service.StaticEndpoint
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if known := d.byID[id]; known != nil {
		return known
	}
	fresh := d.add(id, cluster.Worker{ID: id, Service: service.Name, Address: service.StaticEndpoint})
	fresh.static = true
	return fresh
}

// dropStatic forgets the static endpoints that no service has any more.
func (d *destinations) dropStatic(used map[*destination]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, known := range d.byID {
		if known.static && !used[known] {
			d.drop(id, known)
		}
	}
}

func (d *destinations) closeAll() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, known := range d.byID {
		known.closeIdle()
	}
}

// numberOf makes the decision module's number of a worker from its id, alike in all processes.
func numberOf(id string) decision.WorkerID {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return decision.WorkerID(hash.Sum32())
}
