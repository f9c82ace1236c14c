package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// pastDeadline is a read deadline that ends a pending read immediately.
var pastDeadline = time.Unix(1, 0)

// connectionTracker tracks the open connections of a front and their states.
//
// http.Server.Shutdown closes an idle connection even if a request has just been read from it and the connection's
// state is not updated yet. The tracker ends the pending read instead, so a request that was read completely always
// gets its response.
type connectionTracker struct {
	mutex    sync.Mutex // guards the fields below
	states   map[net.Conn]http.ConnState
	draining bool // closeIdle has been called
}

// setState records the state of a connection. It is the ConnState callback of an http.Server.
func (t *connectionTracker) setState(connection net.Conn, state http.ConnState) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.states == nil {
		t.states = make(map[net.Conn]http.ConnState)
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.states, connection)
		return
	case http.StateActive:
		if t.draining {
			// The request arrived before closeIdle ended the read. Clear the deadline, so that its body can be read.
			connection.SetReadDeadline(time.Time{})
		}
	}
	t.states[connection] = state
}

// closeIdle closes the connections that wait for a request, and returns the number of connections that were open. The
// caller repeats it until it returns 0: a connection may become idle after the call, or net/http may set its read
// deadline at the same time.
func (t *connectionTracker) closeIdle() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = true
	for connection, state := range t.states {
		if state != http.StateActive {
			connection.SetReadDeadline(pastDeadline)
		}
	}
	return len(t.states)
}

// closeAll closes every connection, also those with a request in progress.
func (t *connectionTracker) closeAll() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for connection := range t.states {
		connection.Close()
	}
}
