// The connections to peers that send invalid data or cannot be reached.

package durablejobs

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/raftgroup"
)

// startLinks runs the links of a dispatcher. It returns them with a channel of the replica frames that they receive.
func startLinks(t *testing.T, name string, peers ...config.Peer) (*peerLinks, chan []byte) {
	t.Helper()
	n := &config.Node{Name: name, DurableJobs: &config.DurableJobs{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Peers: peers},
		Limits: config.Limits{ReplicaFrameBytes: 1 << 20, ReplicaQueueBytes: 1 << 20, ReplicaDialTimeout: time.Second, ReplicaRetryDelay: 10 * time.Millisecond}}
	l, err := openLinks(n, greeting{Form: 1, Name: name, Incarnation: 7, StartedAt: 1}, new(atomic.Int64))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan []byte, 16)
	done := make(chan bool)
	go func() {
		l.run(ctx, func(_ raftgroup.NodeID, data []byte) { received <- data })
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l, received
}

// Guards against frames from connections without a valid greeting reaching the replicas: such a connection is closed
// without a reply. The frames of a known peer arrive in order.
func TestInvalidConnectionsAreClosed(t *testing.T) {
	l, received := startLinks(t, "a", config.Peer{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	greetingBytes := func(g greeting) []byte { return frame(greetingFrameKind, encode(g)) }
	large := make([]byte, 5)
	binary.BigEndian.PutUint32(large, 1<<30)
	for name, data := range map[string][]byte{
		"no greeting":               frame(replicaFrameKind, []byte("x")),
		"an unknown name":           greetingBytes(greeting{Form: 1, Name: "z", Incarnation: 1}),
		"a later format version":    greetingBytes(greeting{Form: 2, Name: "b", Incarnation: 1}),
		"no incarnation":            greetingBytes(greeting{Form: 1, Name: "b"}),
		"nothing":                   nil,
		"noise":                     []byte("GET / HTTP/1.1\r\n\r\n"),
		"a frame that is too large": append(greetingBytes(greeting{Form: 1, Name: "b", Incarnation: 1}), append(large, replicaFrameKind)...),
		"another incarnation later": append(greetingBytes(greeting{Form: 1, Name: "b", Incarnation: 1}), greetingBytes(greeting{Form: 1, Name: "b", Incarnation: 2})...),
	} {
		c, err := net.Dial("tcp", l.listen.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		c.Write(data)
		if data == nil {
			c.(*net.TCPConn).CloseWrite()
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Errorf("%s: the connection got a reply", name)
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection is not closed within 5 s", name)
		}
		c.Close()
	}
	if len(received) > 0 {
		t.Errorf("a frame of an invalid connection is received: %q", <-received)
	}
	c, err := net.Dial("tcp", l.listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(append(greetingBytes(greeting{Form: 1, Name: "b", Incarnation: 3, StartedAt: 9, Assignment: 5}), append(frame(replicaFrameKind, []byte("one")), frame(replicaFrameKind, []byte("two"))...)...))
	if a, b := string(<-received), string(<-received); a != "one" || b != "two" {
		t.Errorf("received the frames %q and %q", a, b)
	}
	if m, ok := l.memberOf("b"); !ok || m.Incarnation != 3 || m.Assignment != 5 {
		t.Errorf("peer b is %+v", m)
	}
}

// Guards against an unreachable peer using unbounded memory: frames beyond the queue's limit are dropped and counted.
func TestQueueOfUnreachablePeerIsBounded(t *testing.T) {
	l, _ := startLinks(t, "a", config.Peer{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	for range 40 {
		l.send(raftgroup.NodeID{Name: "b", Incarnation: 1}, make([]byte, 100<<10))
	}
	l.send(raftgroup.NodeID{Name: "nobody", Incarnation: 1}, []byte("x"))
	peer := l.peers["b"]
	peer.mu.Lock()
	queued := peer.queuedBytes
	peer.mu.Unlock()
	if queued > 1<<20 || l.dropped.Load() < 30 {
		t.Errorf("%d bytes are queued, %d frames are dropped", queued, l.dropped.Load())
	}
}
