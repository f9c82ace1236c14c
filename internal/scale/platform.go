package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"ivyfold/internal/ctxtime"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const workersPerPage = 1000

// Platform stands in for the platform's list of workers.
type Platform struct {
	workers int
	turn    atomic.Int64 // the worker of this number drains; another one after each change
	server  *http.Server
	address string
	stop    context.CancelFunc
}

// StartPlatform serves a list on loopback in which something changes again and again. Without an interval nothing does.
func StartPlatform(workers int, interval time.Duration) (*Platform, error) {
	listener, err := net.Listen("tcp", "127.15.2.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Platform{workers: workers, address: listener.Addr().String()}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() { _ = p.server.Serve(listener) }()
	if interval > 0 {
		go p.change(ctx, interval)
	}
	return p, nil
}

func (p *Platform) change(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		ctxtime.Sleep(ctx, interval)
		p.turn.Add(1)
	}
}

// Address is where the list is served, "ip:port".
func (p *Platform) Address() string { return p.address }

// Stop ends the server.
func (p *Platform) Stop() {
	p.stop()
	_ = p.server.Close()
}

// listedWorker is an entry of the platform's list.
type listedWorker struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
}

type workerPage struct {
	Instances []listedWorker `json:"instances"`
	NextToken *string        `json:"next-token"`
}

func (p *Platform) serve(writer http.ResponseWriter, request *http.Request) {
	begin, _ := strconv.Atoi(request.URL.Query().Get("page-token"))
	end := min(begin+workersPerPage, p.workers)
	page := workerPage{Instances: []listedWorker{}}
	for number := begin; number < end; number++ {
		page.Instances = append(page.Instances, p.worker(number))
	}
	if end < p.workers {
		token := strconv.Itoa(end)
		page.NextToken = &token
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(page)
}

func (p *Platform) worker(number int) listedWorker {
	state := "ready"
	if int64(number) == p.turn.Load()%int64(p.workers) {
		state = "draining"
	}
	return listedWorker{
		ID: fmt.Sprintf("worker-%08d", number), Service: fmt.Sprintf("service-%06d", number/10),
		Address: fmt.Sprintf("10.%d.%d.%d:8043", number>>16&255, number>>8&255, number&255), Zone: zoneName(number % 7),
		Version: "v1", Capacity: 6, State: state,
	}
}
