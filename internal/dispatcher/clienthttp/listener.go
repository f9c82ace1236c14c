package clienthttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// stage is the state of a client's connection between accept and close.
type stage uint8

const (
	stageNew       stage = iota // the head of the first request is not complete yet
	stageRequest                // a request is in progress
	stageIdle                   // between two requests
	stageLingering              // the answer has been written; what the client still sends is read and dropped
	stageClosed
)

// listener is the net.Listener of net/http's server. It returns clientConns and bounds their number: if there are too
// many, it requests a close of the connection that evictionCandidate chooses. Only the reader of a connection decides
// whether to close it between two requests, because only the reader knows what has just arrived.
type listener struct {
	net.Listener
	limits config.Limits

	mu             sync.Mutex
	conns          map[*clientConn]bool // all open connections, except those that were rejected on accept
	byStage        [stageClosed + 1]int // number of conns at each stage
	closeRequests  int                  // number of conns with a pending close request
	lingering      int                  // number of rejected connections whose clients are still sending
	closing        bool                 // no further connection is accepted, and idle ones are closed
	connRemoved    chan struct{}        // receives a value when a connection is removed from conns
	pipelinedBytes int64                // buffered bytes that clients sent while a request of theirs was in progress
}

func newListener(limits config.Limits) *listener {
	return &listener{limits: limits, conns: map[*clientConn]bool{}, connRemoved: make(chan struct{}, 1)}
}

// open sets the underlying listener. If this listener has already been shut down, open closes the underlying one and
// returns false.
func (l *listener) open(underlying net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		underlying.Close()
		return false
	}
	l.Listener = underlying
	return true
}

// Accept returns the next connection that the limits admit, and rejects all others with an answer. It does not wait for
// other connections to close, because a connection left in the accept queue would get no answer.
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

// admit adds a connection to conns and reports whether it did. At a limit it requests a close of another connection. It
// returns false if ClientConns is reached and there is no connection to close or SpareClientConns is used up.
func (l *listener) admit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if remaining := len(l.conns) - l.closeRequests; remaining >= l.limits.ClientConns || l.byStage[stageNew] >= l.limits.ClientConnsWithoutHead {
		full := remaining >= l.limits.ClientConns
		candidate := l.evictionCandidate(full)
		if candidate != nil {
			candidate.requestClose()
		}
		// The candidate stays open if a request arrives before it closes. SpareClientConns bounds the excess.
		if full && (candidate == nil || len(l.conns) >= l.limits.ClientConns+l.limits.SpareClientConns) {
			return false
		}
	}
	l.conns[c] = true
	l.byStage[stageNew]++
	return true
}

// remove removes a connection from conns. The caller holds mu.
func (l *listener) remove(c *clientConn) {
	if !l.conns[c] {
		return
	}
	if c.closeRequested {
		c.closeRequested = false
		l.closeRequests--
	}
	l.pipelinedBytes -= c.pipelinedBytes
	c.pipelinedBytes = 0
	delete(l.conns, c)
	select {
	case l.connRemoved <- struct{}{}:
	default:
	}
}

// shutdown closes the underlying listener and the idle connections, and waits until all other connections have been
// answered and closed. If ctx is done first, it returns the error of ctx.
func (l *listener) shutdown(ctx context.Context) error {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock() // from here on open does not replace l.Listener
	if underlying, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		// Closing the socket at once would reset connections in the kernel's accept queue, so accept them first.
		underlying.SetDeadline(time.Now().Add(l.limits.LastAcceptWindow))
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
		allClosed := len(l.conns) == 0
		l.mu.Unlock()
		if allClosed {
			return nil
		}
		select {
		case <-l.connRemoved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// evictionCandidate returns the connection to close to make room, or nil if there is none. In order of preference, it
// is the oldest lingering connection, whose answer has been written; the oldest new connection without input, if
// ClientConnsWithoutHead is reached or no connection is idle; the connection that has been idle longest. Unless the
// listener is full, only a new connection is eligible. The caller holds mu.
func (l *listener) evictionCandidate(full bool) *clientConn {
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

// oldest returns the connection that has been at a stage for longest and has no pending close request. If withoutInput
// is set, it considers only connections with nothing to read. The caller holds mu.
func (l *listener) oldest(at stage, withoutInput bool) (oldest *clientConn) {
	for c := range l.conns {
		if c.stage == at && !c.closeRequested && (oldest == nil || c.since.Before(oldest.since)) && (!withoutInput || c.hasNoInput()) {
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
