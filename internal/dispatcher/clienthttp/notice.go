// The reading of a request's head, and the answer to what cannot be read.

package clienthttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

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
			if g.flood = len(g.raw)+n > d.lim.HeadBytes+int(d.lim.BodyBytes) || d.ahead+int64(n) > d.lim.AllBodiesBytes/4; !g.flood {
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
		g.bound(time.Now().Add(d.lim.ReadTimeout))
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
		} else if looked = len(g.raw); looked > d.lim.HeadBytes {
			err = fault(http.StatusRequestHeaderFieldsTooLarge, "the head is too large")
		} else if err = begins(g.raw); err == nil {
			more := make([]byte, 2<<10)
			var n int
			n, err = g.Conn.Read(more)
			if n > 0 && len(g.raw) == 0 && g.until.IsZero() {
				g.bound(time.Now().Add(d.lim.ReadTimeout))
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
				g.bound(time.Now().Add(d.lim.ReadTimeout))
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
		if err != nil || n > g.door.lim.BodyBytes {
			return fault(http.StatusRequestEntityTooLarge, fmt.Sprintf("a body holds %d bytes at most", g.door.lim.BodyBytes))
		}
		g.body = n
	}
	return nil
}
