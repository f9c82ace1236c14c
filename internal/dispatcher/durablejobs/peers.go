// The connections between dispatchers. Each dispatcher opens one connection to every peer in its settings, on which it
// only sends, and receives on the connections that its peers open. Frames are dropped if a queue is full or a
// connection is down, which Raft tolerates. A slow peer does not delay the others.

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

// greeting is the first frame on a connection. It is sent again when it changes.
type greeting struct {
	_           struct{} `cbor:",toarray"`
	Form        int      // version of the frame format: 1
	Name        string
	Incarnation uint64
	StartedAt   uint64 // Unix ns; of two starts under the same name, the larger one counts
	Assignment  uint64 // ID of the sender's assignment; 0: none
	Leaving     bool   // the sender is shutting down
}

// The kinds of frames. A frame is a 4-byte big-endian length, a byte for the kind, and the data.
const (
	greetingFrameKind byte = iota + 1
	replicaFrameKind
)

// peerLinks are the connections to all peers.
type peerLinks struct {
	limits  config.Limits
	listen  net.Listener
	peers   map[string]*peerLink
	dropped *atomic.Int64

	mu        sync.Mutex
	greeting  greeting
	greetings map[string]greeting // latest greeting of each peer, by name
}

// peerLink is the queue of encoded frames to one peer.
type peerLink struct {
	address     string
	mu          sync.Mutex
	queue       [][]byte
	queuedBytes int
	wake        chan struct{}
}

// openLinks opens the listener for the peers. run makes the connections.
func openLinks(n *config.Node, own greeting, dropped *atomic.Int64) (*peerLinks, error) {
	listen, err := net.Listen("tcp", n.DurableJobs.Listen.String())
	if err != nil {
		return nil, err
	}
	l := &peerLinks{limits: n.Limits, listen: listen, peers: map[string]*peerLink{}, dropped: dropped, greeting: own, greetings: map[string]greeting{}}
	for _, p := range n.DurableJobs.Peers {
		l.peers[p.Name] = &peerLink{address: p.Address.String(), wake: make(chan struct{}, 1)}
	}
	return l, nil
}

func (l *peerLinks) self() raftgroup.NodeID {
	return raftgroup.NodeID{Name: l.greeting.Name, Incarnation: l.greeting.Incarnation}
}

// memberOf returns a peer as described by its latest greeting, without its zone.
func (l *peerLinks) memberOf(name string) (raftgroup.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest, ok := l.greetings[name]
	return raftgroup.Member{NodeID: raftgroup.NodeID{Name: latest.Name, Incarnation: latest.Incarnation}, Assignment: latest.Assignment, Leaving: latest.Leaving}, ok
}

// announce sends a new greeting to the peers if the assignment or the leaving state has changed.
func (l *peerLinks) announce(assignmentID uint64, leaving bool) {
	l.mu.Lock()
	changed := l.greeting.Assignment != assignmentID || l.greeting.Leaving != leaving
	l.greeting.Assignment, l.greeting.Leaving = assignmentID, leaving
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

// frame returns an encoded frame.
func frame(kind byte, data []byte) []byte {
	out := make([]byte, 5, 5+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	out[4] = kind
	return append(out, data...)
}

// send queues a replica frame for a node. It drops frames that are too large or for an unknown peer.
func (l *peerLinks) send(to raftgroup.NodeID, data []byte) {
	p := l.peers[to.Name]
	if p == nil || len(data) > l.limits.ReplicaFrameBytes {
		l.dropped.Add(1)
		return
	}
	p.enqueue(frame(replicaFrameKind, data), l)
}

// enqueue adds a frame to the queue, or drops it if the queue has other frames and is full.
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

// takeQueue empties the queue and returns its frames.
func (p *peerLink) takeQueue() net.Buffers {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := net.Buffers(p.queue)
	p.queue, p.queuedBytes = nil, 0
	return out
}

// run accepts connections, and keeps one open to each peer, until ctx ends. It calls handle with each received replica
// frame, on the goroutine of the connection.
func (l *peerLinks) run(ctx context.Context, handle func(raftgroup.NodeID, []byte)) {
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer context.AfterFunc(ctx, func() { l.listen.Close() })()
	for _, p := range l.peers {
		goroutines.Go(func() { l.runPeer(ctx, p) })
	}
	for {
		c, err := l.listen.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil {
			time.Sleep(l.limits.ReplicaRetryDelay) // no free descriptor; other connections will close
			continue
		}
		goroutines.Go(func() {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			l.read(c, handle)
		})
	}
}

// runPeer keeps a connection to a peer open and writes its queue to it. After a failure it waits for ReplicaRetryDelay
// and drops the queued frames.
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

// write sends the greeting and then the queue of a peer, until the connection fails or ctx ends.
func (l *peerLinks) write(ctx context.Context, c net.Conn, p *peerLink) error {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	closed := make(chan struct{}) // closed when the peer, which never sends on this connection, closes it
	go func() {
		defer close(closed)
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
		case <-closed:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read reads the frames of a peer until the connection ends or a frame is invalid. A connection must begin with a valid
// greeting of a known peer.
func (l *peerLinks) read(c net.Conn, handle func(raftgroup.NodeID, []byte)) error {
	in := bufio.NewReaderSize(c, 64<<10)
	var from raftgroup.NodeID
	header := make([]byte, 5)
	c.SetReadDeadline(time.Now().Add(2 * l.limits.ReplicaDialTimeout)) // for the greeting only
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			return err
		}
		length := int(binary.BigEndian.Uint32(header))
		if length > l.limits.ReplicaFrameBytes || from.Incarnation == 0 && (header[4] != greetingFrameKind || length > 1024) {
			return fmt.Errorf("a frame of %d bytes is too large or comes before the greeting", length)
		}
		data := make([]byte, length)
		if _, err := io.ReadFull(in, data); err != nil {
			return err
		}
		if header[4] == replicaFrameKind {
			handle(from, data)
			continue
		}
		var received greeting
		if err := cbor.Unmarshal(data, &received); err != nil || received.Form != 1 || l.peers[received.Name] == nil || received.Incarnation == 0 || from.Incarnation != 0 && received.Incarnation != from.Incarnation {
			return errors.New("invalid greeting")
		}
		from = raftgroup.NodeID{Name: received.Name, Incarnation: received.Incarnation}
		c.SetReadDeadline(time.Time{})
		l.mu.Lock()
		if received.StartedAt >= l.greetings[received.Name].StartedAt {
			l.greetings[received.Name] = received
		}
		l.mu.Unlock()
	}
}
