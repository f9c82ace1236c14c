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
	workerPort       = 8080
	queuePerSlot     = 1  // deliveries that may wait at a worker, for each slot
	endpointNet      = 30 // second-to-last part of a static endpoint's address
	fateQuery        = "fate="
	fateReject       = "reject" // the worker answers 422
	fateFail         = "fail"   // the worker always answers 500
	ceilingAllowance = 1.1      // of a service's rate is let in
	stubbornEvery    = 3
	goneAfterDrain   = 4 * time.Second
)

// workerService is a service with its workers.
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

// Worker stands in for a worker. Each start is an incarnation of its own.
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
				c.Platform.list(started.entry)
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

// Release replaces a worker as a deployment does: a new one starts elsewhere, the old one drains and ends.
func (w *Worker) Release(ip string) {
	c := w.service.cluster
	successor := w.service.start(ip)
	c.Platform.change(successor.entry)
	leaving := w.entry
	leaving.State = stateDraining
	c.Platform.change(leaving)
	time.Sleep(platformLag + drainBound + goneAfterDrain)
	w.Stop()
	leaving.State = ""
	c.Platform.change(leaving)
}

// Stop ends a worker at once.
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

// StartAgain starts a worker after Stop at its address, as a new incarnation.
func (w *Worker) StartAgain() *Worker {
	started := w.service.start(w.ip)
	if !w.service.Static {
		gone := w.entry
		gone.State = ""
		w.service.cluster.Platform.change(gone)
		w.service.cluster.Platform.change(started.entry)
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

// delivery is a request at a worker.
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

// serve turns a delivery away, or runs it.
func (d *delivery) serve() outcome {
	service := d.worker.service
	if expected := d.request.Header.Get("X-Expect-Instance"); expected != "" && expected != d.worker.entry.ID {
		return d.turnAway(http.StatusMisdirectedRequest)
	}
	if !service.letIn() {
		return d.turnAway(http.StatusTooManyRequests)
	}
	if service.Deduplicates {
		if stamp := service.stampOf(d.id); stamp != "" {
			d.writer.Header().Set("X-Server-Stamp", stamp)
			return outcome{Repeated, http.StatusOK, stamp}
		}
		if !service.begin(d.id) {
			return d.turnAway(http.StatusConflict)
		}
		defer service.finish(d.id)
	}
	return d.awaitSlot()
}

func (d *delivery) turnAway(status int) outcome {
	d.writer.Header().Set("X-Not-Executed", "1")
	return outcome{result: NotRun, status: status}
}

// awaitSlot runs the delivery once the worker has a slot for it.
func (d *delivery) awaitSlot() outcome {
	select {
	case d.worker.waiting <- struct{}{}:
	default:
		return d.turnAway(http.StatusServiceUnavailable)
	}
	defer func() { <-d.worker.waiting }()
	select {
	case d.worker.slots <- struct{}{}:
	case <-d.deadline.C:
		return d.turnAway(http.StatusServiceUnavailable)
	case <-d.request.Context().Done():
		return outcome{result: NotRun, status: http.StatusServiceUnavailable}
	}
	defer func() { <-d.worker.slots }()
	return d.work()
}

// work runs the delivery.
func (d *delivery) work() outcome {
	service := d.worker.service
	random := service.cluster.random
	span := time.Duration((0.5 + random.part()) * float64(service.Work))
	work := time.NewTimer(span)
	defer work.Stop()
	select {
	case <-work.C:
	case <-d.deadline.C:
		return outcome{result: Overdue, status: http.StatusGatewayTimeout}
	case <-d.worker.dropsWork(d.request):
		return outcome{result: Broken}
	}
	switch {
	case strings.Contains(d.request.RequestURI, fateQuery+fateReject):
		return outcome{result: Rejected, status: http.StatusUnprocessableEntity}
	case strings.Contains(d.request.RequestURI, fateQuery+fateFail), random.part() < service.FailingPart:
		return outcome{result: Failed, status: http.StatusInternalServerError}
	}
	stamp := fmt.Sprintf("%s.%x", d.worker.entry.ID, random.uint64())
	service.keepStamp(d.id, stamp)
	d.writer.Header().Set("X-Server-Stamp", stamp)
	return outcome{Succeeded, http.StatusOK, stamp}
}

// dropsWork is ready when a worker gives a message up as its connection has ended. One worker of three never does.
func (w *Worker) dropsWork(request *http.Request) <-chan struct{} {
	if w.number%stubbornEvery == 0 {
		return nil
	}
	return request.Context().Done()
}

// letIn tells whether the service's ceiling allows one more arrival.
func (s *workerService) letIn() bool {
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
	return float64(len(s.arrivals)) <= s.RatePerSecond*ceilingAllowance+1
}

func (s *workerService) stampOf(id string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stamps[id]
}

func (s *workerService) keepStamp(id, stamp string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stamps[id] = stamp
}

// begin tells whether no other run of a message is at work.
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
