package simcluster

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	workerPort          = 8080
	queuePerSlot        = 1  // deliveries that may wait at a worker, per slot
	endpointNet         = 30 // second-to-last part of a static endpoint's address
	scriptedResultQuery = "fate="
	scriptedReject      = "reject" // the worker answers 422
	scriptedFailure     = "fail"   // the worker always answers 500
	rateLimitAllowance  = 1.1      // of a service's rate is admitted
	persistentEvery     = 3
	stopAfterDrain      = 4 * time.Second
)

// workerService is a service and its workers. The mutex guards what is below it.
type workerService struct {
	cluster *Cluster
	Service

	mutex    sync.Mutex
	workers  []*Worker
	started  int
	stamps   map[string]string // by request id, of a service that deduplicates
	running  map[string]bool
	arrivals []time.Time // of the last second
}

// Worker simulates a worker. Each start is an incarnation with an id of its own.
type Worker struct {
	service *workerService
	entry   instance
	number  int // among the service's incarnations
	ip      string
	server  *http.Server
	slots   chan struct{}
	waiting chan struct{}
}

// startWorkers starts the workers of all services, and lists them.
func (c *Cluster) startWorkers() {
	for i, definition := range c.options.Services {
		service := &workerService{
			cluster: c, Service: definition, stamps: make(map[string]string), running: make(map[string]bool),
		}
		c.services[definition.Name] = service
		for number := range definition.Workers {
			ip := fmt.Sprintf("10.3.%d.%d", i, number+1)
			if definition.Static {
				ip, _, _ = net.SplitHostPort(endpointAddress(definition.Name))
			}
			started := service.start(ip)
			if !definition.Static {
				c.Platform.add(started.entry)
			}
		}
	}
}

// endpointAddress is the address of a static endpoint.
func endpointAddress(service string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service))
	return fmt.Sprintf("10.3.%d.%d:%d", endpointNet, hash.Sum32()%200+1, workerPort)
}

// start starts a worker at an address.
func (s *workerService) start(ip string) *Worker {
	s.mutex.Lock()
	s.started++
	started := &Worker{
		service: s, ip: ip, number: s.started,
		slots:   make(chan struct{}, s.Capacity),
		waiting: make(chan struct{}, s.Capacity*(1+queuePerSlot)),
	}
	started.entry = instance{
		ID: fmt.Sprintf("i-%s-%d", s.Name, s.started), Service: s.Name, Address: fmt.Sprintf("%s:%d", ip, workerPort),
		Zone: s.cluster.zone(s.started), Version: "v1", Capacity: s.Capacity, State: stateReady,
	}
	s.workers = append(s.workers, started)
	s.mutex.Unlock()
	started.listen()
	return started
}

func (w *Worker) listen() {
	listener, err := w.service.cluster.network.Host(w.ip).Listen(w.entry.Address)
	assert.NilError(w.service.cluster.t, err)
	w.server = &http.Server{Handler: w}
	server := w.server
	go func() { _ = server.Serve(listener) }()
}

// Workers returns the workers of a service that run.
func (c *Cluster) Workers(service string) []*Worker {
	s := c.services[service]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*Worker(nil), s.workers...)
}

// Release replaces a worker as a deployment does: a new one starts at another address, then the old one drains and
// stops.
func (w *Worker) Release(ip string) {
	c := w.service.cluster
	successor := w.service.start(ip)
	c.Platform.updateAfterLag(successor.entry)
	leaving := w.entry
	leaving.State = stateDraining
	c.Platform.updateAfterLag(leaving)
	time.Sleep(platformLag + drainBound + stopAfterDrain)
	w.Stop()
	leaving.State = ""
	c.Platform.updateAfterLag(leaving)
}

// Stop stops a worker at once, without draining.
func (w *Worker) Stop() {
	w.service.mutex.Lock()
	for i, other := range w.service.workers {
		if other == w {
			w.service.workers = append(w.service.workers[:i:i], w.service.workers[i+1:]...)
			break
		}
	}
	w.service.mutex.Unlock()
	w.service.cluster.network.Kill(w.ip)
	_ = w.server.Close()
}

// StartAgain starts a stopped worker at its former address, as a new incarnation.
func (w *Worker) StartAgain() *Worker {
	started := w.service.start(w.ip)
	if !w.service.Static {
		gone := w.entry
		gone.State = ""
		w.service.cluster.Platform.updateAfterLag(gone)
		w.service.cluster.Platform.updateAfterLag(started.entry)
	}
	return started
}

func (c *Cluster) closeWorkers() {
	for _, service := range c.services {
		for _, worker := range c.Workers(service.Name) {
			_ = worker.server.Close()
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == healthCheckPath {
		writer.Header().Set("X-Instance-Id", w.entry.ID)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	recorder := w.service.cluster.recorder
	sender, _, _ := net.SplitHostPort(request.RemoteAddr)
	milliseconds, _ := strconv.Atoi(request.Header.Get("X-Deadline-Ms"))
	position := recorder.addArrival(Arrival{
		RequestID: request.Header.Get("X-Request-Id"), Method: request.Method, Path: request.RequestURI,
		Body: string(body), Service: w.service.Name, Worker: w.entry.ID, Sender: w.service.cluster.machineAt(sender),
		Deadline: time.Duration(milliseconds) * time.Millisecond, Result: Running,
	})
	delivery := &delivery{worker: w, writer: writer, request: request, id: request.Header.Get("X-Request-Id"),
		deadline: time.NewTimer(time.Duration(milliseconds) * time.Millisecond)}
	defer delivery.deadline.Stop()
	writer.Header().Set("X-Request-Id", delivery.id)
	writer.Header().Set("Keep-Alive", "timeout=30")
	end := delivery.serve()
	recorder.endArrival(position, end, request.Context().Err() != nil)
	if end.result == Broken {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(end.status)
	_, _ = io.WriteString(writer, string(end.result))
}

// delivery is one request at a worker.
type delivery struct {
	worker   *Worker
	writer   http.ResponseWriter
	request  *http.Request
	id       string
	deadline *time.Timer
}

// outcome is how a worker ended a delivery.
type outcome struct {
	result Result
	status int
	stamp  string
}

// serve rejects a delivery, or runs it.
func (d *delivery) serve() outcome {
	service := d.worker.service
	if expected := d.request.Header.Get("X-Expect-Instance"); expected != "" && expected != d.worker.entry.ID {
		return d.reject(http.StatusMisdirectedRequest)
	}
	if !service.admit() {
		return d.reject(http.StatusTooManyRequests)
	}
	if service.Deduplicates {
		if stamp := service.stampOf(d.id); stamp != "" {
			d.writer.Header().Set("X-Server-Stamp", stamp)
			return outcome{Repeated, http.StatusOK, stamp}
		}
		if !service.begin(d.id) {
			return d.reject(http.StatusConflict)
		}
		defer service.finish(d.id)
	}
	return d.awaitSlot()
}

// reject answers that the message has not run and will not run because of this request.
func (d *delivery) reject(status int) outcome {
	d.writer.Header().Set("X-Not-Executed", "1")
	return outcome{result: NotRun, status: status}
}

// awaitSlot runs the delivery once the worker has a free slot.
func (d *delivery) awaitSlot() outcome {
	select {
	case d.worker.waiting <- struct{}{}:
	default:
		return d.reject(http.StatusServiceUnavailable)
	}
	defer func() { <-d.worker.waiting }()
	select {
	case d.worker.slots <- struct{}{}:
	case <-d.deadline.C:
		return d.reject(http.StatusServiceUnavailable)
	case <-d.request.Context().Done():
		return outcome{result: NotRun, status: http.StatusServiceUnavailable}
	}
	defer func() { <-d.worker.slots }()
	return d.work()
}

// work runs the delivery and draws its result.
func (d *delivery) work() outcome {
	service := d.worker.service
	random := service.cluster.random
	span := time.Duration((0.5 + random.fraction()) * float64(service.Work))
	work := time.NewTimer(span)
	defer work.Stop()
	select {
	case <-work.C:
	case <-d.deadline.C:
		return outcome{result: Overdue, status: http.StatusGatewayTimeout}
	case <-d.worker.abandoned(d.request):
		return outcome{result: Broken}
	}
	switch {
	case strings.Contains(d.request.RequestURI, scriptedResultQuery+scriptedReject):
		return outcome{result: Rejected, status: http.StatusUnprocessableEntity}
	case strings.Contains(d.request.RequestURI, scriptedResultQuery+scriptedFailure), random.fraction() < service.FailureShare:
		return outcome{result: Failed, status: http.StatusInternalServerError}
	}
	stamp := fmt.Sprintf("%s.%x", d.worker.entry.ID, random.uint64())
	service.storeStamp(d.id, stamp)
	d.writer.Header().Set("X-Server-Stamp", stamp)
	return outcome{Succeeded, http.StatusOK, stamp}
}

// abandoned returns a channel that is ready when the worker gives a message up because its connection has ended.
// One worker of three never does, and gets no channel.
func (w *Worker) abandoned(request *http.Request) <-chan struct{} {
	if w.number%persistentEvery == 0 {
		return nil
	}
	return request.Context().Done()
}

// admit tells whether the service's rate limit allows one more arrival.
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

// begin tells whether no other run of a message is in progress, and marks this one as such.
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
