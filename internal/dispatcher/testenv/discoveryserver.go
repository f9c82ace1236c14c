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

// DiscoveryServer is the discovery service: it answers with the complete list, then with the lines of Changes.
type DiscoveryServer struct {
	Complete   config.WorkerList
	Changes    chan string // raw lines of the watch; closing it ends the watch, and so does one with \x00 for its line's end
	mu         sync.Mutex
	calls      []string
	Status     int  // 0: 200
	OmitsReady bool // no line tells that the watch is up

	CallDuration, MaxWait      time.Duration // calls are taken one after the other, each for so long; who would wait longer gets 503
	freeAt                     time.Time     // when the last call taken is through
	closed                     chan struct{} // closed when all watches end
	rejectedCalls, openWatches int           // calls turned away; watches that stand
}

// update changes what the server does from now on.
func (r *DiscoveryServer) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

// closeWatches ends all watches; it is called within update.
func (r *DiscoveryServer) closeWatches() {
	if r.closed != nil {
		close(r.closed)
	}
	r.closed = make(chan struct{})
}

// awaitTurn has a call wait for its turn, and tells whether there was one.
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

// Calls are the targets asked for so far.
func (r *DiscoveryServer) Calls() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.calls...)
}

// ServeHTTP answers one request.
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
	changes, status, whole, over := r.Changes, r.Status, r.Complete, r.closed
	if status == 0 {
		r.openWatches++
		defer r.update(func() { r.openWatches-- })
	}
	r.mu.Unlock()
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	text, _ := json.Marshal(whole)
	fmt.Fprintf(w, "%s\n", text)
	w.(http.Flusher).Flush()
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case <-beat.C:
			r.mu.Lock()
			mute := r.OmitsReady
			r.mu.Unlock()
			if !mute {
				io.WriteString(w, "\n")
				w.(http.Flusher).Flush()
			}
		case s, ok := <-changes:
			if !ok {
				return
			}
			cut, broken := strings.CutSuffix(s, "\x00")
			if broken {
				io.WriteString(w, cut)
				return
			}
			io.WriteString(w, s+"\n")
			w.(http.Flusher).Flush()
		case <-over:
			return
		case <-req.Context().Done():
			return
		}
	}
}
