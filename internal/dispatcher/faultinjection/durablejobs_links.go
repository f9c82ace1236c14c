package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"
)

func (t *DurableJobsPlay) copies(i, k int) string {
	return fmt.Sprintf("127.%d.%d.%d:7500", t.play.Host, i+1, k+1)
}

// link carries what node i sends to node k. While that way is cut nothing passes, and nothing is said.
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
	go func() { // the other end has gone
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
