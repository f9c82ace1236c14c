// This file is the door: what a client's connection goes through before
// net/http's server sees anything of it. It owns the accepted connections and
// their number, reads each request's head as it came, and lets it through only
// if it can be read in one way. It counts a connection's time from its accept,
// makes room by asking whoever needs it least to go, sees a client leave while
// its request is in, and closes such that an answer reaches a client that is
// still sending. Whether a connection may be closed between two requests only
// its reader says: nobody else knows what has just come. It must never leave a
// connection waiting unseen, close one on a request that was read, word an
// answer to a job, or change a byte that it lets pass.
package portal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ivyfold/internal/config"
)

// stage is where a client's connection stands.
type stage uint8

const (
	fresh   stage = iota // it has not said a whole head yet, its first
	busy                 // a request is in
	idle                 // between two requests
	parting              // the answer is out; what the client still sends is read away
	gone
)

// door is the listener that net/http's server is given.
type door struct {
	net.Listener
	lim     config.Limits
	mu      sync.Mutex
	all     map[*guest]bool
	many    [gone + 1]int // by stage
	asked   int           // to go, and have not yet
	parting int           // turned away, and what they still send is read away
	closing bool          // no more are let in, and nobody stays between two requests
	left    chan struct{} // somebody has gone
	ahead   int64         // bytes held that came before their time
}

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

func newDoor(lim config.Limits) *door {
	return &door{lim: lim, all: map[*guest]bool{}, left: make(chan struct{}, 1)}
}

// open gives the door its listener; it tells whether the door still opens.
func (d *door) open(l net.Listener) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		l.Close()
		return false
	}
	d.Listener = l
	return true
}

// Accept never waits for room: a connection that nobody looks at is owed an answer all the same.
func (d *door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.closing {
				err = http.ErrServerClosed
			}
			return nil, err
		}
		g := &guest{Conn: c, door: d, since: time.Now()}
		g.bound(g.since.Add(d.lim.ReadHead))
		d.mu.Lock()
		enter := true
		if here := len(d.all) - d.asked; here >= d.lim.PortalConns || d.many[fresh] >= d.lim.PortalFresh {
			full := here >= d.lim.PortalConns
			out := d.spare(full)
			if out != nil {
				out.ask()
			}
			// One that is asked and has a request in stays after all: so many too many is what there is room for.
			enter = !full || out != nil && len(d.all) < d.lim.PortalConns+d.lim.PortalSpare
		}
		if enter {
			d.all[g] = true
			d.many[fresh]++
			d.mu.Unlock()
			return g, nil
		}
		d.mu.Unlock()
		go g.turnAway()
	}
}

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

// out takes a guest off the list. The lock is held.
func (d *door) out(g *guest) {
	if !d.all[g] {
		return
	}
	if g.asked {
		g.asked = false
		d.asked--
	}
	d.ahead -= g.early
	g.early = 0
	delete(d.all, g)
	select {
	case d.left <- struct{}{}:
	default:
	}
}

// farewell closes the listener, lets go of who is between two requests, and waits for all others to have their answers.
func (d *door) farewell(ctx context.Context) error {
	d.mu.Lock()
	d.closing = true
	d.mu.Unlock() // from here on nobody gives it another listener
	if l, ok := d.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		// Closed at once, the listener would reset those that the kernel has already let in.
		l.SetDeadline(time.Now().Add(d.lim.LastAccept))
		time.Sleep(d.lim.LastAccept)
	}
	if d.Listener != nil {
		d.Listener.Close()
	}
	d.mu.Lock()
	for g := range d.all {
		if g.stage == idle {
			g.ask()
		}
	}
	d.mu.Unlock()
	for {
		d.mu.Lock()
		none := len(d.all) == 0
		d.mu.Unlock()
		if none {
			return nil
		}
		select {
		case <-d.left:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// spare finds who is to go: one that has its answer; the silent newcomer that has waited longest, where there are many
// or no idle one is left; the one that has been idle longest. With a whole house nobody who has said anything goes.
func (d *door) spare(full bool) (out *guest) {
	oldest := func(s stage, also func(*guest) bool) (found *guest) {
		for g := range d.all {
			if g.stage == s && !g.asked && (found == nil || g.since.Before(found.since)) && (also == nil || also(g)) {
				found = g
			}
		}
		return found
	}
	if full {
		out = oldest(parting, nil)
	}
	if out == nil && (d.many[fresh] >= d.lim.PortalFresh || d.many[idle] == 0) {
		out = oldest(fresh, (*guest).silent)
	}
	if out == nil && full {
		out = oldest(idle, (*guest).silent)
	}
	return out
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
	g.Conn.SetWriteDeadline(time.Now().Add(g.door.lim.Linger))
	fmt.Fprintf(g.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %s\r\nContent-Length: %d\r\n\r\n%s",
		later(g.door.lim.RetryAfter), len(text), text)
	g.door.mu.Lock()
	room := g.door.parting < g.door.lim.PortalSpare
	if room {
		g.door.parting++
	}
	g.door.mu.Unlock()
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok && room {
		half.CloseWrite()
		g.Conn.SetReadDeadline(time.Now().Add(g.door.lim.Linger))
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
			g.SetReadDeadline(time.Now().Add(g.door.lim.Linger))
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

// notice stands in for a head that is not let through: the portal answers what is wrong.
const notice = "GET /fault HTTP/1.1\r\nHost: -\r\nConnection: close\r\n\r\n"

// attend reads on while a request is in: only so does it show that the client has left, also behind bytes that came
// before their time. Those are kept for later, as far as there is room. It ends with the client or when it is broken off.
func (g *guest) attend() error {
	g.times.Lock()
	if g.deaf {
		g.times.Unlock()
		return os.ErrDeadlineExceeded
	}
	ear := make(chan struct{})
	g.ear = ear
	g.times.Unlock()
	defer close(ear)
	more := make([]byte, 2<<10)
	for all := int64(0); ; {
		n, err := g.Conn.Read(more)
		if n > 0 && !g.flood {
			d := g.door
			d.mu.Lock()
			if g.flood = len(g.raw)+n > d.lim.Head+int(d.lim.Body) || d.ahead+int64(n) > d.lim.Bodies/4; !g.flood {
				d.ahead += int64(n)
				g.early += int64(n)
				g.raw = append(g.raw, more[:n]...)
			}
			d.mu.Unlock()
		}
		if all += int64(n); err == nil && all > g.door.lim.LingerBytes {
			err = errors.New("a client floods its connection")
		}
		if err != nil {
			return err
		}
	}
}

// stopAttending comes before an answer that closes the connection: a request that the client sends upon it must not be
// read any more, for then it would be lost, while one that the close crosses unread comes again elsewhere.
func (g *guest) stopAttending() {
	g.times.Lock()
	g.deaf = true
	g.apply()
	ear := g.ear
	g.times.Unlock()
	if ear != nil {
		<-ear
	}
}

// head reads up to the end of a head and looks at it.
func (g *guest) head() error {
	d := g.door
	if g.early > 0 {
		d.mu.Lock()
		d.ahead -= g.early
		g.early = 0
		d.mu.Unlock()
	}
	if len(g.raw) > 0 {
		g.bound(time.Now().Add(d.lim.ReadHead))
	}
	whole := false
	for looked := 0; !whole; {
		var err error
		if g.flood {
			err = fault(http.StatusBadRequest, "more came before its time than there is room for")
		} else if at := bytes.Index(g.raw[max(looked-3, 0):], []byte("\r\n\r\n")); at >= 0 {
			at += max(looked-3, 0) + 4
			g.ready, g.raw, whole = g.raw[:at:at], g.raw[at:], true
			err = g.look(g.ready)
		} else if looked = len(g.raw); looked > d.lim.Head {
			err = fault(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
		} else if err = begins(g.raw); err == nil {
			more := make([]byte, 2<<10)
			var n int
			n, err = g.Conn.Read(more)
			if n > 0 && len(g.raw) == 0 && g.until.IsZero() {
				g.bound(time.Now().Add(d.lim.ReadHead))
			}
			if g.raw = append(g.raw, more[:n]...); n > 0 {
				continue
			}
			if errors.Is(err, os.ErrDeadlineExceeded) && g.roused() {
				if idled := d.at(g) == idle; !g.goes() {
					continue
				} else if !idled || len(g.raw) > 0 {
					g.turnAway()
				} // else nothing is owed: a request that crosses the close comes again elsewhere
				return io.EOF
			}
			switch {
			case len(g.raw) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !g.silent():
				// A process that stood still meets both at once: what has come was there first.
				g.SetReadDeadline(time.Time{})
				g.bound(time.Now().Add(d.lim.ReadHead))
				continue
			case len(g.raw) == 0:
			case errors.Is(err, os.ErrDeadlineExceeded) && g.due():
				err = fault(http.StatusRequestTimeout, "the head did not come in time")
			case err == io.EOF:
				err = fault(http.StatusBadRequest, "the head broke off")
			}
		}
		var wrong *faulty
		if errors.As(err, &wrong) {
			g.status, g.fault, g.ready, whole = wrong.status, wrong.text, []byte(notice), true
		} else if err != nil {
			return err
		}
	}
	if len(g.raw) == 0 {
		g.raw = nil
	}
	g.bound(time.Time{})
	return g.enter()
}

// enter brings a guest whose request is in past every wish that it should go: what was read is answered.
func (g *guest) enter() error {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.asked {
		g.asked = false
		g.door.asked--
	}
	g.rouse(false)
	if !g.pass(busy) {
		return io.EOF
	}
	return nil
}

// at tells at which stage a guest is.
func (d *door) at(g *guest) stage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return g.stage
}

// departed tells whether the client has closed its connection, as far as that shows behind what it has sent.
func (g *guest) departed() bool {
	n, err := g.peek()
	return n == 0 && err != syscall.EAGAIN && err != errBlind
}

type faulty struct {
	status int
	text   string
}

func (f *faulty) Error() string { return f.text }

func fault(status int, text string) error { return &faulty{status, text} }

// begins tells early what can never become a head.
func begins(raw []byte) error {
	for i, b := range raw[:min(len(raw), 16)] {
		if b == ' ' && i > 0 {
			return nil
		} else if b < 'A' || b > 'Z' {
			break
		} else if i < 15 && i == len(raw)-1 {
			return nil
		}
	}
	if len(raw) == 0 {
		return nil
	}
	return fault(http.StatusBadRequest, "this is no request")
}

// look lets a head through if it has one meaning only: lines that end alike, names that are names, no folded line, and
// at most one word on the body's length.
func (g *guest) look(head []byte) error {
	bad := func(text string) error { return fault(http.StatusBadRequest, text) }
	lines := strings.Split(string(head[:len(head)-4]), "\r\n")
	first := strings.Split(lines[0], " ")
	if len(first) != 3 || first[1] == "" || first[2] != "HTTP/1.1" && first[2] != "HTTP/1.0" {
		return bad("the request line cannot be read")
	}
	length, coding := "", ""
	for _, l := range lines {
		if strings.ContainsFunc(l, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return bad("a control character stands in the head")
		}
	}
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || strings.ContainsFunc(name, func(r rune) bool {
			return r <= ' ' || r > '~' || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
		}) {
			return bad("a header line cannot be read")
		}
		value = strings.Trim(value, " \t")
		for word, to := range map[string]*string{"content-length": &length, "transfer-encoding": &coding} {
			if !strings.EqualFold(name, word) {
				continue
			} else if *to != "" || value == "" {
				return bad(word + " is empty or stands more than once")
			}
			*to = value
		}
	}
	switch {
	case length != "" && coding != "":
		return bad("Content-Length and Transfer-Encoding stand together")
	case coding != "" && (!strings.EqualFold(coding, "chunked") || first[2] != "HTTP/1.1"):
		return fault(http.StatusNotImplemented, "the transfer coding is unknown")
	case coding != "":
		g.through = true
	case length != "":
		if strings.ContainsFunc(length, func(r rune) bool { return r < '0' || r > '9' }) {
			return bad("Content-Length is not a number")
		}
		n, err := strconv.ParseInt(length, 10, 64)
		if err != nil || n > g.door.lim.Body {
			return fault(http.StatusRequestEntityTooLarge, fmt.Sprintf("a body holds %d bytes at most", g.door.lim.Body))
		}
		g.body = n
	}
	return nil
}

// guestOf finds the connection that a request came on.
func guestOf(ctx context.Context) *guest {
	g, _ := ctx.Value(guestKey{}).(*guest)
	return g
}
