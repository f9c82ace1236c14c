package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"
)

// replicationAddress returns the replication address at which node i reaches node k; replicationAddress(i, i) is where
// node i listens.
func (d *DurableWorkload) replicationAddress(i, k int) string {
	return fmt.Sprintf("127.%d.%d.%d:7500", d.runner.Host, i+1, k+1)
}

// forwardConnection forwards what node i sends to node k over one connection. While that direction is partitioned, the
// link delays the data and reports no error to either end.
func (d *DurableWorkload) forwardConnection(from net.Conn, i, k int) {
	cut := func() bool {
		r := d.runner
		return r.partitions[i*r.timeline.Nodes+k].Load() || r.deaf[k].Load()
	}
	wait := func() bool {
		for cut() && !d.stopped.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		return !d.stopped.Load()
	}
	if !wait() {
		return
	}
	to, err := net.DialTimeout("tcp", d.replicationAddress(k, k), time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { // closes the connection once node k has closed its end
		io.Copy(io.Discard, to)
		from.Close()
	}()
	rng := rand.New(rand.NewPCG(d.runner.timeline.Seed, uint64(i*1000+k)))
	buffer := make([]byte, 64<<10)
	for {
		from.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := from.Read(buffer)
		if n > 0 {
			if !wait() {
				return
			}
			if delayRange := d.runner.delay.Load(); delayRange > 0 {
				low, high := delayRange>>16, delayRange&0xffff
				time.Sleep(time.Duration(low+rng.Int64N(high-low+1)) * time.Millisecond)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) || d.stopped.Load() {
			return
		}
	}
}
