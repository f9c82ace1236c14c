package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
)

// startPlatform starts the simulated workers and the server of the platform's worker list.
func (s *system) startPlatform(ctx context.Context) error {
	workers := make([]*worker, workerCount)
	for i := range workers {
		workers[i] = &worker{
			id:      fmt.Sprintf("worker-%d", i+1),
			address: s.hostAddress(portWorker + i),
			zone:    zones[i%len(zones)],
		}
		if err := s.serve(ctx, workers[i].address, workers[i]); err != nil {
			return err
		}
	}
	return s.serve(ctx, s.platformAddress(), newWorkerListHandler(workers))
}

// serve opens a listener at an address and serves HTTP, in a goroutine that Run waits for, until the context ends.
func (s *system) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := s.options.Network(hostIP).Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.running.Go(func() { _ = server.Serve(listener) }) // it returns when the context ends
	return nil
}

// hostAddress returns the address of a simulated worker or of the platform. offset is its port's offset from
// Options.FirstPort.
func (s *system) hostAddress(offset int) string {
	return net.JoinHostPort(hostIP, strconv.Itoa(s.options.FirstPort+offset))
}
