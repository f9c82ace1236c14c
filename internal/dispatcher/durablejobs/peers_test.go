// The carrier against peers that say what cannot be, and a keeper's settings.

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

func linksOf(t *testing.T, name string, peers ...config.Peer) (*peerLinks, chan []byte) {
	t.Helper()
	n := &config.Node{Name: name, DurableJobs: &config.DurableJobs{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Peers: peers},
		Limits: config.Limits{ReplicaFrameBytes: 1 << 20, ReplicaQueueBytes: 1 << 20, ReplicaDialTimeout: time.Second, ReplicaRetryDelay: 10 * time.Millisecond}}
	l, err := openLinks(n, greeting{Form: 1, Name: name, Incarnation: 7, StartedAt: 1}, new(atomic.Int64))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	heard := make(chan []byte, 16)
	done := make(chan bool)
	go func() {
		l.run(ctx, func(_ raftgroup.NodeID, data []byte) { heard <- data })
		close(done)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return l, heard
}

// What a stranger sends is never handed on, and his connection ends; frames of a known peer are, in order.
func TestStrangersAreNotHeard(t *testing.T) {
	l, heard := linksOf(t, "a", config.Peer{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	word := func(h greeting) []byte { return frame(greetingFrameKind, encode(h)) }
	large := make([]byte, 5)
	binary.BigEndian.PutUint32(large, 1<<30)
	for name, data := range map[string][]byte{
		"no hello":             frame(replicaFrameKind, []byte("x")),
		"an unknown name":      word(greeting{Form: 1, Name: "z", Incarnation: 1}),
		"a later form":         word(greeting{Form: 2, Name: "b", Incarnation: 1}),
		"no memory":            word(greeting{Form: 1, Name: "b"}),
		"nothing":              nil,
		"noise":                []byte("GET / HTTP/1.1\r\n\r\n"),
		"too large a frame":    append(word(greeting{Form: 1, Name: "b", Incarnation: 1}), append(large, replicaFrameKind)...),
		"another memory later": append(word(greeting{Form: 1, Name: "b", Incarnation: 1}), word(greeting{Form: 1, Name: "b", Incarnation: 2})...),
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
			t.Errorf("%s: it is answered", name)
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Errorf("%s: the connection stays", name)
		}
		c.Close()
	}
	if len(heard) > 0 {
		t.Errorf("%q is handed on", <-heard)
	}
	c, err := net.Dial("tcp", l.listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(append(word(greeting{Form: 1, Name: "b", Incarnation: 3, StartedAt: 9, Assignment: 5}), append(frame(replicaFrameKind, []byte("one")), frame(replicaFrameKind, []byte("two"))...)...))
	if a, b := string(<-heard), string(<-heard); a != "one" || b != "two" {
		t.Errorf("%q and %q are heard", a, b)
	}
	if m, ok := l.memberOf("b"); !ok || m.Incarnation != 3 || m.Assignment != 5 {
		t.Errorf("%+v is known of b", m)
	}
}

// A peer that is not there costs no more than the queue's bytes; what does not fit is dropped and counted.
func TestPeerThatIsNotThere(t *testing.T) {
	l, _ := linksOf(t, "a", config.Peer{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	for range 40 {
		l.send(raftgroup.NodeID{Name: "b", Incarnation: 1}, make([]byte, 100<<10))
	}
	l.send(raftgroup.NodeID{Name: "nobody", Incarnation: 1}, []byte("x"))
	k := l.peers["b"]
	k.mu.Lock()
	held := k.queuedBytes
	k.mu.Unlock()
	if held > 1<<20 || l.dropped.Load() < 30 {
		t.Errorf("%d bytes wait, %d are dropped", held, l.dropped.Load())
	}
}
