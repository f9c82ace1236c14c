package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// longPast is a deadline that makes a pending read end at once.
var longPast = time.Unix(1, 0)

// connectionTracker knows the open connections and which of them wait for a request.
//
// http.Server.Shutdown closes an idle connection also where a request has just been read from it but not been noted
// yet. The tracker ends the pending read instead, so a request that was read completely always gets its answer.
type connectionTracker struct {
	mutex    sync.Mutex // guards what follows
	states   map[net.Conn]http.ConnState
	draining bool // closeIdle has been called
}

// setState follows a connection's states; it is an http.Server's ConnState.
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
			// A request has come in before closeIdle could end the read: let its body be read.
			connection.SetReadDeadline(time.Time{})
		}
	}
	t.states[connection] = state
}

// closeIdle closes the connections that wait for a request, and returns how many connections were open. It has to be
// called until none is left: a connection may become idle afterwards, or extend its deadline at the same moment.
func (t *connectionTracker) closeIdle() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = true
	for connection, state := range t.states {
		if state != http.StateActive {
			connection.SetReadDeadline(longPast)
		}
	}
	return len(t.states)
}

// closeAll closes every connection, whatever it is doing.
func (t *connectionTracker) closeAll() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for connection := range t.states {
		connection.Close()
	}
}
