package simcluster

import (
	"sync"
	"time"
)

// workerService is a service and its workers. The mutex guards the fields below it.
type workerService struct {
	cluster *Cluster
	Service

	mutex    sync.Mutex
	workers  []*Worker
	started  int
	stamps   map[string]string // by request ID; read only if the service deduplicates
	running  map[string]bool
	arrivals []time.Time // of the last second
}

// admit reports whether the service's rate limit allows one more arrival, and counts the arrival.
func (s *workerService) admit() bool {
	if s.RatePerSecond <= 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) >= time.Second {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, now)
	return float64(len(s.arrivals)) <= s.RatePerSecond*rateLimitAllowance+1
}

func (s *workerService) stampOf(id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stamps[id]
}

func (s *workerService) storeStamp(id, stamp string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stamps[id] = stamp
}

// begin marks a message as running at a service that deduplicates. It reports false if another run of it is in
// progress.
func (s *workerService) begin(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running[id] {
		return false
	}
	s.running[id] = true
	return true
}

func (s *workerService) finish(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.running, id)
}
