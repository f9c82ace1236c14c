package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"
)

// copies returns the replication address at which node i reaches node k; copies(i, i) is where node i listens.
func (t *DurableJobsPlay) copies(i, k int) string {
	return fmt.Sprintf("127.%d.%d.%d:7500", t.play.Host, i+1, k+1)
}

// link forwards what node i sends to node k over one connection. While that direction is partitioned, the link delays
// the data and reports no error to either end.
func (t *DurableJobsPlay) link(from net.Conn, i, k int) {
	cut := func() bool {
		p := t.play
		return p.partitions[i*p.line.Nodes+k].Load() || p.deaf[k].Load()
	}
	wait := func() bool {
		for cut() && !t.over.Load() {
			time.Sleep(10 * time.Millisecond)
		}
		return !t.over.Load()
	}
	if !wait() {
		return
	}
	to, err := net.DialTimeout("tcp", t.copies(k, k), time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { // closes the connection once node k has closed its end
		io.Copy(io.Discard, to)
		from.Close()
	}()
	rng := rand.New(rand.NewPCG(t.play.line.Seed, uint64(i*1000+k)))
	buffer := make([]byte, 64<<10)
	for {
		from.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := from.Read(buffer)
		if n > 0 {
			if !wait() {
				return
			}
			if d := t.play.delay.Load(); d > 0 {
				low, high := d>>16, d&0xffff
				time.Sleep(time.Duration(low+rng.Int64N(high-low+1)) * time.Millisecond)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) || t.over.Load() {
			return
		}
	}
}
