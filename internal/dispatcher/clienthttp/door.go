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

package clienthttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
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
		g.bound(g.since.Add(d.lim.ReadTimeout))
		d.mu.Lock()
		enter := true
		if here := len(d.all) - d.asked; here >= d.lim.ClientConns || d.many[fresh] >= d.lim.ClientConnsWithoutHead {
			full := here >= d.lim.ClientConns
			out := d.spare(full)
			if out != nil {
				out.ask()
			}
			// One that is asked and has a request in stays after all: so many too many is what there is room for.
			enter = !full || out != nil && len(d.all) < d.lim.ClientConns+d.lim.SpareClientConns
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
		l.SetDeadline(time.Now().Add(d.lim.LastAcceptWindow))
		time.Sleep(d.lim.LastAcceptWindow)
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
	if out == nil && (d.many[fresh] >= d.lim.ClientConnsWithoutHead || d.many[idle] == 0) {
		out = oldest(fresh, (*guest).silent)
	}
	if out == nil && full {
		out = oldest(idle, (*guest).silent)
	}
	return out
}

// at tells at which stage a guest is.
func (d *door) at(g *guest) stage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return g.stage
}
