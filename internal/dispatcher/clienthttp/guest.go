// A guest: one client connection, its stages, times and ends.

package clienthttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// guest is a client's connection. raw, ready, body, through and fault belong to the goroutine that reads.
type guest struct {
	net.Conn
	door  *door
	stage stage     // under the door's lock, as are
	asked bool      // to go, if nothing has come, and
	since time.Time // when it came to its stage

	raw, ready []byte // come and not looked at; let through and not yet taken
	flood      bool   // so much came before its time that some was dropped
	body       int64  // bytes of the present body still to pass
	through    bool   // in chunks: all that follows passes, and its answer closes the connection
	early      int64  // bytes in raw that came before their time
	status     int    // what is wrong with the head, 0 where nothing is
	fault      string

	times sync.Mutex
	want  time.Time     // the server's limit for reading
	until time.Time     // the head's own
	awake bool          // whoever reads has to look up at once
	deaf  bool          // nothing more is read before the last answer is out
	ear   chan struct{} // closed when attend has ended; nil where it never began
}

type guestKey struct{}

// ask asks a guest to go: whoever reads from it sees to that, and says whether something has come meanwhile. The lock is
// held.
func (g *guest) ask() {
	if g.asked || g.stage == gone {
		return
	}
	g.asked = true
	g.door.asked++
	g.rouse(true)
}

// goes is the reader's word on a guest that was asked to go: it does if nothing more has come. Part of a head is no
// request; where there is no hurry it may become one.
func (g *guest) goes() bool {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.asked {
		g.asked = false
		g.door.asked--
	}
	g.rouse(false)
	if !g.silent() || g.door.closing && len(g.raw) > 0 {
		return false
	}
	g.pass(gone)
	g.door.out(g)
	return true
}

// rouse makes whoever reads look up at once, or no longer.
func (g *guest) rouse(on bool) {
	g.times.Lock()
	defer g.times.Unlock()
	if g.awake != on {
		g.awake = on
		g.apply()
	}
}

// silent tells whether nothing more has come: in a burst the newcomers' first bytes are there before anybody has read
// them.
func (g *guest) silent() bool {
	n, err := g.peek()
	return err != nil || n == 0
}

var errBlind = errors.New("this connection cannot be looked into")

// peek looks into the socket's queue without taking anything out of it.
func (g *guest) peek() (n int, err error) {
	sc, ok := g.Conn.(syscall.Conn)
	if !ok {
		return 0, errBlind
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	if broken := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); broken != nil {
		return 0, broken
	}
	return max(n, 0), err
}

// turnAway says on a connection that has heard nothing yet that there is no room, and closes it. What the client is
// still sending is read away, as far as there is room for that: a reset would overtake the answer.
func (g *guest) turnAway() {
	text := "refused: no room for connections\n"
	g.Conn.SetWriteDeadline(time.Now().Add(g.door.lim.LingerTimeout))
	fmt.Fprintf(g.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		later(g.door.lim.RetryAfter), len(text), text)
	g.door.mu.Lock()
	room := g.door.parting < g.door.lim.SpareClientConns
	if room {
		g.door.parting++
	}
	g.door.mu.Unlock()
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok && room {
		half.CloseWrite()
		g.Conn.SetReadDeadline(time.Now().Add(g.door.lim.LingerTimeout))
		io.Copy(io.Discard, io.LimitReader(g.Conn, g.door.lim.LingerBytes))
	}
	if room {
		g.door.mu.Lock()
		g.door.parting--
		g.door.mu.Unlock()
	}
	g.Conn.Close()
}

// pass brings a guest to a stage. The lock is held; from gone there is no way back.
func (g *guest) pass(s stage) bool {
	if g.stage == gone {
		return false
	}
	g.door.many[g.stage]--
	g.door.many[s]++
	g.stage, g.since = s, time.Now()
	if s == gone {
		g.door.many[gone] = 0
	}
	return true
}

func (g *guest) reach(s stage) bool {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	ok := g.pass(s)
	if ok && s == idle && g.door.closing {
		g.ask()
	}
	return ok
}

// Close closes at once where the client has said all; otherwise what it still sends is read away for a while, for a
// reset would overtake the answer.
func (g *guest) Close() error {
	half, ok := g.Conn.(interface{ CloseWrite() error })
	if ok && (g.status != 0 || g.through || g.body > 0) && g.reach(parting) {
		go func() {
			half.CloseWrite()
			g.times.Lock()
			g.deaf = false
			g.times.Unlock()
			g.SetReadDeadline(time.Now().Add(g.door.lim.LingerTimeout))
			io.Copy(io.Discard, io.LimitReader(g.Conn, g.door.lim.LingerBytes))
			g.leave()
		}()
		return nil
	}
	return g.leave()
}

func (g *guest) leave() error {
	g.door.mu.Lock()
	g.pass(gone)
	g.door.out(g)
	g.door.mu.Unlock()
	return g.Conn.Close()
}

// SetReadDeadline is the server's; the head's own limit holds beside it.
func (g *guest) SetReadDeadline(t time.Time) error {
	g.times.Lock()
	defer g.times.Unlock()
	g.want = t
	return g.apply()
}

// bound sets the time at which the present head must be whole; zero is none.
func (g *guest) bound(t time.Time) {
	g.times.Lock()
	defer g.times.Unlock()
	g.until = t
	g.apply()
}

func (g *guest) apply() error {
	t := g.want
	if t.IsZero() || !g.until.IsZero() && g.until.Before(t) {
		t = g.until
	}
	if g.awake || g.deaf {
		t = time.Unix(1, 0)
	}
	return g.Conn.SetReadDeadline(t)
}

// due tells whether the head's own limit has passed; otherwise it was the server that broke off a read.
func (g *guest) due() bool {
	g.times.Lock()
	defer g.times.Unlock()
	return !g.until.IsZero() && !time.Now().Before(g.until)
}

// roused tells whether the guest was asked to go.
func (g *guest) roused() bool {
	g.times.Lock()
	defer g.times.Unlock()
	return g.awake
}

// Read gives the server whole heads that have been looked at, and bodies as they come.
func (g *guest) Read(p []byte) (n int, err error) {
	for len(p) > 0 {
		switch {
		case len(g.ready) > 0:
			n = copy(p, g.ready)
			g.ready = g.ready[n:]
			return n, nil
		case g.status != 0: // nothing that follows can be placed
			return 0, io.EOF
		case g.through && len(g.raw) == 0:
			return g.Conn.Read(p)
		case !g.through && g.body == 0:
			if g.door.at(g) == busy {
				return 0, g.attend()
			}
			if err := g.head(); err != nil {
				return 0, err
			}
			continue
		}
		if !g.through {
			p = p[:min(int64(len(p)), g.body)]
		}
		if len(g.raw) > 0 {
			n = copy(p, g.raw)
			g.raw = g.raw[n:]
		} else {
			n, err = g.Conn.Read(p)
		}
		if !g.through {
			g.body -= int64(n)
		}
		return n, err
	}
	return 0, nil
}

// departed tells whether the client has closed its connection, as far as that shows behind what it has sent.
func (g *guest) departed() bool {
	n, err := g.peek()
	return n == 0 && err != syscall.EAGAIN && err != errBlind
}

// guestOf finds the connection that a request came on.
func guestOf(ctx context.Context) *guest {
	g, _ := ctx.Value(guestKey{}).(*guest)
	return g
}
