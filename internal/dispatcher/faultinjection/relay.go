package faultinjection

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// connect opens a socket for each ordered pair of nodes and starts the relays.
func (p *Play) connect() error {
	n := p.line.Nodes
	p.relays = make([][]*net.UDPConn, n)
	for i := range n {
		p.relays[i] = make([]*net.UDPConn, n)
		for k := range n {
			if i != k {
				a, err := net.ResolveUDPAddr("udp", p.address(i, k))
				if err != nil {
					return err
				}
				if p.relays[i][k], err = net.ListenUDP("udp", a); err != nil {
					return err
				}
			}
		}
	}
	for i := range n {
		for k := range n {
			if i != k {
				p.wait.Go(func() { p.relay(i, k) })
			}
		}
	}
	return nil
}

// relay forwards the datagrams of node i to node k. It sends them from the socket at which k reaches i, so that k takes
// i for their sender.
func (p *Play) relay(i, k int) {
	to, _ := netip.ParseAddrPort(p.address(k, k))
	buffer := make([]byte, 2048)
	rng := rand.New(rand.NewPCG(p.line.Seed, uint64(i*1000+k)))
	for {
		n, _, err := p.relays[i][k].ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if p.partitions[i*p.line.Nodes+k].Load() || p.deaf[k].Load() {
			continue
		}
		for copies := 1 + hit(rng, p.double.Load()); copies > 0; copies-- {
			if hit(rng, p.loss.Load()) == 1 {
				continue
			}
			d := p.delay.Load()
			from, upTo := d>>16, d&0xffff
			if upTo == 0 {
				p.relays[k][i].WriteToUDPAddrPort(buffer[:n], to)
				continue
			}
			data := append([]byte(nil), buffer[:n]...)
			time.AfterFunc(time.Duration(from+rng.Int64N(upTo-from+1))*time.Millisecond, func() { p.relays[k][i].WriteToUDPAddrPort(data, to) })
		}
	}
}

// hit returns 1 with a probability of share/2^20, and 0 otherwise.
func hit(rng *rand.Rand, share uint64) int {
	if share > 0 && rng.Uint64N(1<<20) < share {
		return 1
	}
	return 0
}
