package clienthttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// stage is where a client's connection is between its accept and its end.
type stage uint8

const (
	stageNew       stage = iota // its first request's head is not complete yet
	stageRequest                // a request is in
	stageIdle                   // between two requests
	stageLingering              // the answer is out; what the client still sends is read and dropped
	stageClosed
)

// listener is the net.Listener that net/http's server is given. It hands out clientConns and bounds their number: where
// there are too many it asks those to close that need their connection least. Whether a connection may be closed between
// two requests only its reader decides: nobody else knows what has just come.
type listener struct {
	net.Listener
	limits config.Limits

	mu             sync.Mutex
	conns          map[*clientConn]bool // all that are open, but for those that were rejected at their accept
	byStage        [stageClosed + 1]int // how many of them
	closeRequested int                  // of them, those that were asked to close and have not yet
	lingering      int                  // rejected connections whose client is still sending
	closing        bool                 // no more are let in, and none stays between two requests
	closed         chan struct{}        // gets a value when a connection has left conns
	earlyBytes     int64                // held of what clients sent while a request of theirs was in
}

func newListener(limits config.Limits) *listener {
	return &listener{limits: limits, conns: map[*clientConn]bool{}, closed: make(chan struct{}, 1)}
}

// open gives the listener its sockets. Where it has been shut down already it closes them and returns false.
func (l *listener) open(sockets net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		sockets.Close()
		return false
	}
	l.Listener = sockets
	return true
}

// Accept returns the next connection that there is room for. It never waits for room: a connection that nobody looks at
// is owed an answer all the same.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.closing {
				err = http.ErrServerClosed
			}
			return nil, err
		}
		c := &clientConn{Conn: socket, listener: l, since: time.Now()}
		c.setHeadDeadline(c.since.Add(l.limits.ReadTimeout))
		if l.admit(c) {
			return c, nil
		}
		go c.reject()
	}
}

// admit lists a connection where there is room, or where one that is asked to close makes some. It returns whether it did.
func (l *listener) admit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if staying := len(l.conns) - l.closeRequested; staying >= l.limits.ClientConns || l.byStage[stageNew] >= l.limits.ClientConnsWithoutHead {
		full := staying >= l.limits.ClientConns
		candidate := l.leastNeeded(full)
		if candidate != nil {
			candidate.requestClose()
		}
		// One that is asked and has a request in stays after all: SpareClientConns bounds how many too many there may be.
		if full && (candidate == nil || len(l.conns) >= l.limits.ClientConns+l.limits.SpareClientConns) {
			return false
		}
	}
	l.conns[c] = true
	l.byStage[stageNew]++
	return true
}

// remove takes a connection off the list. The lock is held.
func (l *listener) remove(c *clientConn) {
	if !l.conns[c] {
		return
	}
	if c.closeRequested {
		c.closeRequested = false
		l.closeRequested--
	}
	l.earlyBytes -= c.earlyBytes
	c.earlyBytes = 0
	delete(l.conns, c)
	select {
	case l.closed <- struct{}{}:
	default:
	}
}

// shutdown closes the sockets, closes the connections that are between two requests, and waits until all others have had
// their answers. Its error is ctx's.
func (l *listener) shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock() // from here on nobody gives it other sockets
	if sockets, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		// Closed at once, the socket would reset the connections that the kernel has already let in.
		sockets.SetDeadline(time.Now().Add(l.limits.LastAcceptWindow))
		time.Sleep(l.limits.LastAcceptWindow)
	}
	if l.Listener != nil {
		l.Listener.Close()
	}
	l.mu.Lock()
	for c := range l.conns {
		if c.stage == stageIdle {
			c.requestClose()
		}
	}
	l.mu.Unlock()
	for {
		l.mu.Lock()
		none := len(l.conns) == 0
		l.mu.Unlock()
		if none {
			return nil
		}
		select {
		case <-l.closed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leastNeeded returns the connection that is to make room, nil where none may: one that has its answer; the silent new
// one that has waited longest, where there are many or no idle one is left; the one that has been idle longest. While
// there is room for some, only new ones may. The lock is held.
func (l *listener) leastNeeded(full bool) *clientConn {
	if full {
		if c := l.oldest(stageLingering, false); c != nil {
			return c
		}
	}
	if l.byStage[stageNew] >= l.limits.ClientConnsWithoutHead || l.byStage[stageIdle] == 0 {
		if c := l.oldest(stageNew, true); c != nil {
			return c
		}
	}
	if full {
		return l.oldest(stageIdle, true)
	}
	return nil
}

// oldest returns the connection that has been longest at a stage, of those that were not asked to close and, where silent
// is set, that have nothing to read. The lock is held.
func (l *listener) oldest(at stage, silent bool) (oldest *clientConn) {
	for c := range l.conns {
		if c.stage == at && !c.closeRequested && (oldest == nil || c.since.Before(oldest.since)) && (!silent || c.isSilent()) {
			oldest = c
		}
	}
	return oldest
}

// stageOf returns the stage of a connection.
func (l *listener) stageOf(c *clientConn) stage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.stage
}
