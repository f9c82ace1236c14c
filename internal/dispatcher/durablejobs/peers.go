// The connections between dispatchers with replicas: one to each peer that the operator's file names, for what this one
// sends, and those that come in, for what it receives. Frames without room in the queue or without a connection are dropped,
// which Raft tolerates; a slow peer does not delay others.

package durablejobs

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/raftgroup"
)

// greeting is the first frame of a connection, and is sent again when it changes.
type greeting struct {
	_           struct{} `cbor:",toarray"`
	Form        int      // version of the frames; 1 is the first
	Name        string
	Incarnation uint64
	StartedAt   uint64 // a later start under the same name has a larger one
	Assignment  uint64
	Leaving     bool
}

const (
	greetingFrameKind byte = iota + 1
	replicaFrameKind
)

type peerLinks struct {
	limits  config.Limits
	listen  net.Listener
	peers   map[string]*peerLink
	dropped *atomic.Int64

	mu        sync.Mutex
	greeting  greeting
	greetings map[string]greeting
}

// peerLink is the queue of frames to one peer.
type peerLink struct {
	address     string
	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	wake        chan struct{}
}

func openLinks(n *config.Node, me greeting, dropped *atomic.Int64) (*peerLinks, error) {
	listen, err := net.Listen("tcp", n.DurableJobs.Listen.String())
	if err != nil {
		return nil, err
	}
	l := &peerLinks{limits: n.Limits, listen: listen, peers: map[string]*peerLink{}, dropped: dropped, greeting: me, greetings: map[string]greeting{}}
	for _, p := range n.DurableJobs.Peers {
		l.peers[p.Name] = &peerLink{address: p.Address.String(), wake: make(chan struct{}, 1)}
	}
	return l, nil
}

func (l *peerLinks) self() raftgroup.NodeID {
	return raftgroup.NodeID{Name: l.greeting.Name, Incarnation: l.greeting.Incarnation}
}

// memberOf returns what a peer last said of itself.
func (l *peerLinks) memberOf(name string) (raftgroup.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.greetings[name]
	return raftgroup.Member{NodeID: raftgroup.NodeID{Name: h.Name, Incarnation: h.Incarnation}, Assignment: h.Assignment, Leaving: h.Leaving}, ok
}

// announce tells the peers what has changed here.
func (l *peerLinks) announce(charter uint64, leaving bool) {
	l.mu.Lock()
	changed := l.greeting.Assignment != charter || l.greeting.Leaving != leaving
	l.greeting.Assignment, l.greeting.Leaving = charter, leaving
	frame := l.greetingFrame()
	l.mu.Unlock()
	if changed {
		for _, p := range l.peers {
			p.enqueue(frame, l)
		}
	}
}

// greetingFrame returns this dispatcher's greeting as a frame. The caller holds l.mu.
func (l *peerLinks) greetingFrame() []byte { return frame(greetingFrameKind, encode(l.greeting)) }

func frame(kind byte, data []byte) []byte {
	out := make([]byte, 5, 5+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	out[4] = kind
	return append(out, data...)
}

// send queues a frame for a node.
func (l *peerLinks) send(to raftgroup.NodeID, data []byte) {
	p := l.peers[to.Name]
	if p == nil || len(data) > l.limits.ReplicaFrameBytes {
		l.dropped.Add(1)
		return
	}
	p.enqueue(frame(replicaFrameKind, data), l)
}

func (p *peerLink) enqueue(f []byte, l *peerLinks) {
	p.mu.Lock()
	if p.queuedBytes+len(f) > l.limits.ReplicaQueueBytes && p.queuedBytes > 0 {
		p.mu.Unlock()
		l.dropped.Add(1)
		return
	}
	p.queue, p.queuedBytes = append(p.queue, f), p.queuedBytes+len(f)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// takeQueue returns all queued frames, and empties the queue.
func (p *peerLink) takeQueue() net.Buffers {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := net.Buffers(p.queue)
	p.queue, p.queuedBytes = nil, 0
	return out
}

// run accepts and keeps connections until ctx ends.
func (l *peerLinks) run(ctx context.Context, hear func(raftgroup.NodeID, []byte)) {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { l.listen.Close() })()
	for _, p := range l.peers {
		all.Go(func() { l.runPeer(ctx, p) })
	}
	for {
		c, err := l.listen.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil {
			time.Sleep(l.limits.ReplicaRetryDelay) // no descriptor is free; others will be closed
			continue
		}
		all.Go(func() {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			l.read(c, hear)
		})
	}
}

// runPeer keeps a connection to a peer and writes its queue.
func (l *peerLinks) runPeer(ctx context.Context, p *peerLink) {
	d := net.Dialer{Timeout: l.limits.ReplicaDialTimeout}
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", p.address)
		if err == nil {
			err = l.write(ctx, c, p)
			c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.limits.ReplicaRetryDelay):
		}
		if err != nil { // the queued frames are outdated by now
			l.dropped.Add(int64(len(p.takeQueue())))
		}
	}
}

func (l *peerLinks) write(ctx context.Context, c net.Conn, p *peerLink) error {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	gone := make(chan struct{}) // the peer sends nothing on this connection but its end
	go func() {
		defer close(gone)
		c.Read(make([]byte, 1))
	}()
	l.mu.Lock()
	out := net.Buffers{l.greetingFrame()}
	l.mu.Unlock()
	for {
		c.SetWriteDeadline(time.Now().Add(l.limits.ReplicaDialTimeout))
		if _, err := out.WriteTo(c); err != nil {
			return err
		}
		select {
		case <-p.wake:
			out = p.takeQueue()
		case <-gone:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read reads frames of a peer, until the connection ends or a frame is invalid.
func (l *peerLinks) read(c net.Conn, hear func(raftgroup.NodeID, []byte)) error {
	in := bufio.NewReaderSize(c, 64<<10)
	var from raftgroup.NodeID
	head := make([]byte, 5)
	c.SetReadDeadline(time.Now().Add(2 * l.limits.ReplicaDialTimeout)) // whoever connects has to greet soon
	for {
		if _, err := io.ReadFull(in, head); err != nil {
			return err
		}
		n := int(binary.BigEndian.Uint32(head))
		if n > l.limits.ReplicaFrameBytes || from.Incarnation == 0 && (head[4] != greetingFrameKind || n > 1024) {
			return fmt.Errorf("a frame of %d bytes", n)
		}
		data := make([]byte, n)
		if _, err := io.ReadFull(in, data); err != nil {
			return err
		}
		if head[4] == replicaFrameKind {
			hear(from, data)
			continue
		}
		var h greeting
		if err := cbor.Unmarshal(data, &h); err != nil || h.Form != 1 || l.peers[h.Name] == nil || h.Incarnation == 0 || from.Incarnation != 0 && h.Incarnation != from.Incarnation {
			return errors.New("a hello that cannot be")
		}
		from = raftgroup.NodeID{Name: h.Name, Incarnation: h.Incarnation}
		c.SetReadDeadline(time.Time{})
		l.mu.Lock()
		if h.StartedAt >= l.greetings[h.Name].StartedAt {
			l.greetings[h.Name] = h
		}
		l.mu.Unlock()
	}
}
