package faultinjection

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// openRelays opens a socket for each ordered pair of nodes and starts the relays.
func (r *Runner) openRelays() error {
	n := r.timeline.Nodes
	r.relays = make([][]*net.UDPConn, n)
	for i := range n {
		r.relays[i] = make([]*net.UDPConn, n)
		for k := range n {
			if i != k {
				udpAddress, err := net.ResolveUDPAddr("udp", r.address(i, k))
				if err != nil {
					return err
				}
				if r.relays[i][k], err = net.ListenUDP("udp", udpAddress); err != nil {
					return err
				}
			}
		}
	}
	for i := range n {
		for k := range n {
			if i != k {
				r.tasks.Go(func() { r.forwardDatagrams(i, k) })
			}
		}
	}
	return nil
}

// forwardDatagrams forwards the datagrams of node i to node k. It sends them from the socket at which k reaches i, so
// that k takes i for their sender.
func (r *Runner) forwardDatagrams(i, k int) {
	to, _ := netip.ParseAddrPort(r.address(k, k))
	buffer := make([]byte, 2048)
	rng := rand.New(rand.NewPCG(r.timeline.Seed, uint64(i*1000+k)))
	for {
		n, _, err := r.relays[i][k].ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if r.partitions[i*r.timeline.Nodes+k].Load() || r.deaf[k].Load() {
			continue
		}
		for copies := 1 + chance(rng, r.duplication.Load()); copies > 0; copies-- {
			if chance(rng, r.loss.Load()) == 1 {
				continue
			}
			delayRange := r.delay.Load()
			low, high := delayRange>>16, delayRange&0xffff
			if high == 0 {
				r.relays[k][i].WriteToUDPAddrPort(buffer[:n], to)
				continue
			}
			data := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(time.Duration(low+rng.Int64N(high-low+1))*time.Millisecond, func() { r.relays[k][i].WriteToUDPAddrPort(data, to) })
		}
	}
}

// chance returns 1 with a probability of share/2^20, and 0 otherwise.
func chance(rng *rand.Rand, share uint64) int {
	if share > 0 && rng.Uint64N(1<<20) < share {
		return 1
	}
	return 0
}
