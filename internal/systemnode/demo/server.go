package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
)

// startSimulated starts the simulated workers, and the platform's list of them.
func (s *system) startSimulated(ctx context.Context) error {
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
	return s.serve(ctx, s.platformAddress(), platform(workers))
}

// serve serves HTTP at an address until the context ends.
func (s *system) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := s.options.Network(hostIP).Listen(address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	s.running.Go(func() { _ = server.Serve(listener) }) // it ends with the context
	return nil
}

// hostAddress returns an address of the simulated parties by the offset of its port.
func (s *system) hostAddress(offset int) string {
	return net.JoinHostPort(hostIP, strconv.Itoa(s.options.Port+offset))
}
