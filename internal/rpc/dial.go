package rpc

import (
	"context"
	"net"
	"time"

	"gladepick/internal/network"
)

// dialResult is how one try of a dial ended.
type dialResult struct {
	stream net.Conn
	err    error
}

// dialAgain dials an address, and does so again beside the earlier tries whenever none of them has ended for a while. It
// returns how the first one of them ended, and gives the others up.
func dialAgain(ctx context.Context, wire network.Network, address string) (net.Conn, error) {
	trying, giveUp := context.WithCancel(ctx)
	defer giveUp()
	ended := make(chan dialResult)
	try := func() {
		stream, err := wire.Dial(trying, address)
		select {
		case ended <- dialResult{stream: stream, err: err}:
		case <-trying.Done():
			closeUnused(stream, err)
		}
	}
	timer := time.NewTimer(redialAfter)
	defer timer.Stop()
	go try()
	for {
		select {
		case result := <-ended:
			return result.stream, result.err
		case <-timer.C:
			go try()
			timer.Reset(redialAfter)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func closeUnused(stream net.Conn, err error) {
	if err == nil {
		_ = stream.Close()
	}
}
