package simcluster

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/standin"
)

const (
	workerPort               = 8080
	waitingPerSlot           = 1  // deliveries that may wait at a worker, per slot
	endpointThirdOctet       = 30 // third octet of a static endpoint's IP address
	scriptedResultQuery      = "fate="
	scriptedReject           = "reject"        // the worker answers 422
	scriptedFailure          = "fail"          // the worker always answers 500
	rateLimitAllowance       = 1.1             // factor on a service's rate limit up to which its workers admit requests
	persistentWorkerInterval = 3               // every third worker finishes messages whose connection has ended
	stopDelayAfterDrain      = 4 * time.Second // from drainBound to the stop of a released worker
)

// Worker simulates one incarnation of a worker. Each start of a worker is a new incarnation with an ID of its own.
type Worker struct {
	service *workerService
	entry   standin.Instance
	number  int // of the service's incarnations, counted from 1
	ip      string
	server  *http.Server
	slots   chan struct{}
	waiting chan struct{}
}

// startWorkers starts the workers of all services, and adds those that are not static endpoints to the platform's list.
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

// endpointAddress returns the address of a service's static endpoint.
func endpointAddress(service string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service))
	return fmt.Sprintf("10.3.%d.%d:%d", endpointThirdOctet, hash.Sum32()%200+1, workerPort)
}

// start starts a worker of the service at an IP address. It does not add the worker to the platform's list.
func (s *workerService) start(ip string) *Worker {
	s.mutex.Lock()
	s.started++
	started := &Worker{
		service: s, ip: ip, number: s.started,
		slots:   make(chan struct{}, s.Capacity),
		waiting: make(chan struct{}, s.Capacity*(1+waitingPerSlot)),
	}
	started.entry = standin.Instance{
		ID: fmt.Sprintf("i-%s-%d", s.Name, s.started), Service: s.Name, Address: fmt.Sprintf("%s:%d", ip, workerPort),
		Zone: s.cluster.zone(s.started), Version: "v1", Capacity: s.Capacity, State: standin.StateReady,
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

// Workers returns the running workers of a service.
func (c *Cluster) Workers(service string) []*Worker {
	s := c.services[service]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*Worker(nil), s.workers...)
}

// Release replaces a worker as a deployment does: a new worker starts at another IP address, then the old one drains
// and stops. It returns once the old worker has stopped.
func (w *Worker) Release(ip string) {
	c := w.service.cluster
	replacement := w.service.start(ip)
	c.Platform.updateAfterLag(replacement.entry)
	draining := w.entry
	draining.State = stateDraining
	c.Platform.updateAfterLag(draining)
	time.Sleep(platformLag + drainBound + stopDelayAfterDrain)
	w.Stop()
	draining.State = ""
	c.Platform.updateAfterLag(draining)
}

// Stop stops a worker at once, without draining. The platform keeps it in the list.
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

// Restart starts a stopped worker at its former IP address, as a new incarnation. Unless the worker is a static
// endpoint, the platform's list follows after its lag.
func (w *Worker) Restart() *Worker {
	started := w.service.start(w.ip)
	if !w.service.Static {
		departed := w.entry
		departed.State = ""
		w.service.cluster.Platform.updateAfterLag(departed)
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
