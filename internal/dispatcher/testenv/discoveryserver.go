package testenv

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// DiscoveryServer is a discovery service. It answers a watch with the complete list and then with the lines of Changes.
type DiscoveryServer struct {
	Complete   config.WorkerList
	Changes    chan string // raw lines of the watch; closing it ends the watch, as does a line truncated by \x00
	mu         sync.Mutex
	calls      []string
	Status     int  // status of every answer; 0: 200
	OmitsReady bool // open watches get no empty lines

	CallDuration, MaxWait      time.Duration // time per call, one at a time; a call that would wait longer gets 503
	freeAt                     time.Time     // when the last accepted call ends
	closed                     chan struct{} // closed by closeWatches
	rejectedCalls, openWatches int           // calls answered by 503 after MaxWait; watches that are open
}

// update runs change under the server's lock.
func (r *DiscoveryServer) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// closeWatches ends all watches. The caller holds the lock, by update.
func (r *DiscoveryServer) closeWatches() {
	if r.closed != nil {
		close(r.closed)
	}
	r.closed = make(chan struct{})
}

// awaitTurn waits until the server has handled a call, or for MaxWait if it would have to wait longer to begin. It
// reports whether the call was handled.
func (r *DiscoveryServer) awaitTurn() bool {
	r.mu.Lock()
	now := time.Now()
	begin := now
	if r.freeAt.After(now) {
		begin = r.freeAt
	}
	end, ok := now.Add(r.MaxWait), begin.Sub(now) <= r.MaxWait
	if ok {
		r.freeAt = begin.Add(r.CallDuration)
		end = r.freeAt
	} else {
		r.rejectedCalls++
	}
	r.mu.Unlock()
	time.Sleep(time.Until(end))
	return ok
}

// Calls returns the request targets received so far.
func (r *DiscoveryServer) Calls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

// ServeHTTP answers one watch; it returns when the watch ends.
func (r *DiscoveryServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.calls = append(r.calls, req.URL.String())
	r.mu.Unlock()
	if r.CallDuration > 0 && !r.awaitTurn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	if r.closed == nil {
		r.closed = make(chan struct{})
	}
	changes, status, complete, ended := r.Changes, r.Status, r.Complete, r.closed
	if status == 0 {
		r.openWatches++
		defer r.update(func() { r.openWatches-- })
	}
	r.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	text, _ := json.Marshal(complete)
	fmt.Fprintf(w, "%s\n", text)
	w.(http.Flusher).Flush()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.mu.Lock()
			omitsReady := r.OmitsReady
			r.mu.Unlock()
			if !omitsReady {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		case line, ok := <-changes:
			if !ok {
				return
			}
			partialLine, truncated := strings.CutSuffix(line, "\x00")
			if truncated {
				io.WriteString(w, partialLine)
				return
			}
			io.WriteString(w, line+"\n")
			w.(http.Flusher).Flush()
		case <-ended:
			return
		case <-req.Context().Done():
			return
		}
	}
}
