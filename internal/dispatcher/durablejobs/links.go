// The connections between dispatchers that keep copies: one to each other that the
// operator's file names, for what this one sends, and those that come in, for what it
// hears. What finds no room or no connection is dropped, as Raft bears; a peer that is
// slow holds nobody else up. It must never wait for a peer on the keeper's goroutine.

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

// hello is the first frame of a connection, and comes again with each change of what it says.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Form    int      // of the frames; 1 is the first
	Name    string
	Copy    uint64
	Start   uint64 // a later start under one name has a larger one
	Charter uint64
	Leaving bool
}

const (
	helloFrame byte = iota + 1
	hostFrame
)

type links struct {
	lim     config.Limits
	listen  net.Listener
	out     map[string]*link
	dropped *atomic.Int64

	mu   sync.Mutex
	me   hello
	seen map[string]hello
}

// link is what goes to one peer.
type link struct {
	at    string
	mu    sync.Mutex
	queue [][]byte
	held  int
	wake  chan struct{}
}

func open(n *config.Node, me hello, dropped *atomic.Int64) (*links, error) {
	listen, err := net.Listen("tcp", n.DurableJobs.Listen.String())
	if err != nil {
		return nil, err
	}
	l := &links{lim: n.Limits, listen: listen, out: map[string]*link{}, dropped: dropped, me: me, seen: map[string]hello{}}
	for _, p := range n.DurableJobs.Peers {
		l.out[p.Name] = &link{at: p.Address.String(), wake: make(chan struct{}, 1)}
	}
	return l, nil
}

func (l *links) self() raftgroup.NodeID { return raftgroup.NodeID{Name: l.me.Name, Memory: l.me.Copy} }

// met is what a peer last said of itself.
func (l *links) met(name string) (raftgroup.Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.seen[name]
	return raftgroup.Member{NodeID: raftgroup.NodeID{Name: h.Name, Memory: h.Copy}, Assignment: h.Charter, Leaving: h.Leaving}, ok
}

// greet lets the peers know what has changed here.
func (l *links) greet(charter uint64, leaving bool) {
	l.mu.Lock()
	changed := l.me.Charter != charter || l.me.Leaving != leaving
	l.me.Charter, l.me.Leaving = charter, leaving
	word := l.word()
	l.mu.Unlock()
	if changed {
		for _, k := range l.out {
			k.put(word, l)
		}
	}
}

// word is this dispatcher's hello as a frame. l.mu is held.
func (l *links) word() []byte { return frame(helloFrame, encode(l.me)) }

func frame(kind byte, data []byte) []byte {
	out := make([]byte, 5, 5+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	out[4] = kind
	return append(out, data...)
}

// send puts a frame on its way.
func (l *links) send(to raftgroup.NodeID, data []byte) {
	k := l.out[to.Name]
	if k == nil || len(data) > l.lim.ReplicaFrameBytes {
		l.dropped.Add(1)
		return
	}
	k.put(frame(hostFrame, data), l)
}

func (k *link) put(f []byte, l *links) {
	k.mu.Lock()
	if k.held+len(f) > l.lim.ReplicaQueueBytes && k.held > 0 {
		k.mu.Unlock()
		l.dropped.Add(1)
		return
	}
	k.queue, k.held = append(k.queue, f), k.held+len(f)
	k.mu.Unlock()
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// take is all that waits, as one piece.
func (k *link) take() net.Buffers {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := net.Buffers(k.queue)
	k.queue, k.held = nil, 0
	return out
}

// run carries until ctx ends.
func (l *links) run(ctx context.Context, hear func(raftgroup.NodeID, []byte)) {
	var all sync.WaitGroup
	defer all.Wait()
	defer context.AfterFunc(ctx, func() { l.listen.Close() })()
	for _, k := range l.out {
		all.Go(func() { l.carry(ctx, k) })
	}
	for {
		c, err := l.listen.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		} else if err != nil {
			time.Sleep(l.lim.ReplicaRetryDelay) // out of descriptors: others close some
			continue
		}
		all.Go(func() {
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			l.read(c, hear)
		})
	}
}

// carry keeps the connection to a peer up and writes what is for it.
func (l *links) carry(ctx context.Context, k *link) {
	d := net.Dialer{Timeout: l.lim.ReplicaDialTimeout}
	for ctx.Err() == nil {
		c, err := d.DialContext(ctx, "tcp", k.at)
		if err == nil {
			err = l.write(ctx, c, k)
			c.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(l.lim.ReplicaRetryDelay):
		}
		if err != nil { // what waited for it is old by now
			l.dropped.Add(int64(len(k.take())))
		}
	}
}

func (l *links) write(ctx context.Context, c net.Conn, k *link) error {
	defer context.AfterFunc(ctx, func() { c.Close() })()
	gone := make(chan struct{}) // nothing ever comes on this connection but its end
	go func() {
		defer close(gone)
		c.Read(make([]byte, 1))
	}()
	l.mu.Lock()
	out := net.Buffers{l.word()}
	l.mu.Unlock()
	for {
		c.SetWriteDeadline(time.Now().Add(l.lim.ReplicaDialTimeout))
		if _, err := out.WriteTo(c); err != nil {
			return err
		}
		select {
		case <-k.wake:
			out = k.take()
		case <-gone:
			return io.EOF
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read takes in what a peer says, until it ends or says what cannot be.
func (l *links) read(c net.Conn, hear func(raftgroup.NodeID, []byte)) error {
	in := bufio.NewReaderSize(c, 64<<10)
	var from raftgroup.NodeID
	head := make([]byte, 5)
	c.SetReadDeadline(time.Now().Add(2 * l.lim.ReplicaDialTimeout)) // strangers say who they are, and soon
	for {
		if _, err := io.ReadFull(in, head); err != nil {
			return err
		}
		n := int(binary.BigEndian.Uint32(head))
		if n > l.lim.ReplicaFrameBytes || from.Memory == 0 && (head[4] != helloFrame || n > 1024) {
			return fmt.Errorf("a frame of %d bytes", n)
		}
		data := make([]byte, n)
		if _, err := io.ReadFull(in, data); err != nil {
			return err
		}
		if head[4] == hostFrame {
			hear(from, data)
			continue
		}
		var h hello
		if err := cbor.Unmarshal(data, &h); err != nil || h.Form != 1 || l.out[h.Name] == nil || h.Copy == 0 || from.Memory != 0 && h.Copy != from.Memory {
			return errors.New("a hello that cannot be")
		}
		from = raftgroup.NodeID{Name: h.Name, Memory: h.Copy}
		c.SetReadDeadline(time.Time{})
		l.mu.Lock()
		if h.Start >= l.seen[h.Name].Start {
			l.seen[h.Name] = h
		}
		l.mu.Unlock()
	}
}
