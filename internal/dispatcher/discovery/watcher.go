// Package discovery watches the list of workers at the discovery service. A watch
// is one long-lived HTTP call; its response carries a JSON object for each change.
//
// Watcher owns the one call in flight, the address it goes to, the last version
// of the list received from that address, and the watchdog that ends a silent
// call. It makes the first call when the decision module requests a watch. In
// push mode it makes the first call at once, because the module makes no
// request in that mode. When a call ends, the watcher reports
// decision.ListFailed and calls again after a backoff. It never has two calls
// in flight, and it does not judge the health of workers.
//
// Run uses one goroutine, which reads all responses and calls OnList. Any
// goroutine may call Watch and SetAddress; they share state with Run under
// Watcher.mu or through channels.
//
// Start reading at Watcher.Run.
package discovery

import (
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
)

// Reasons why the watcher itself ends a call.
var (
	errSilent         = errors.New("no data from discovery within the time-out")
	errAddressChanged = errors.New("the address of discovery has changed")
)

// Watcher keeps a watch on the list of workers. Set its exported fields before Run.
type Watcher struct {
	// OnList receives each list that discovery sends, and decision.ListFailed once for each call that ends.
	OnList func(decision.ListKind, []config.Worker)
	// Dial opens a connection. Tests replace it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	node           *config.Node
	limits         config.Limits
	client         *http.Client
	pushMode       bool          // lists are pushed to an agent on this machine, which serves them to each caller
	watchRequested chan struct{} // the module has requested a watch
	addressChanged chan struct{} // SetAddress has been called

	// Each kind of unusual list is logged only once.
	logForeign, logOutdated, logUnreadable sync.Once

	mu             sync.Mutex
	address        string
	generation     int64                   // last received from this address; not comparable between addresses
	addressVersion int                     // incremented by each change of the address
	cancelCall     context.CancelCauseFunc // ends the call in flight
}

// New creates a watcher. It resumes from the version of the node's cached list.
func New(n *config.Node) *Watcher {
	w := &Watcher{
		Dial:           (&net.Dialer{Timeout: n.Limits.DiscoveryCallTimeout, KeepAlive: -1}).DialContext,
		node:           n,
		limits:         n.Limits,
		pushMode:       n.Module.Discovery == decision.DiscoveryPush,
		watchRequested: make(chan struct{}, 1),
		addressChanged: make(chan struct{}, 1),
		address:        n.Discovery,
		generation:     n.KnownWorkers.Generation,
		cancelCall:     func(error) {},
	}
	w.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, // each call has its own connection, so that net/http cannot retry it
		MaxConnsPerHost:   n.Limits.DiscoveryConns,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return w.Dial(ctx, network, address)
		},
		MaxResponseHeaderBytes: int64(n.Limits.HeadBytes),
	}}
	return w
}

// Watch requests a watch if on is set. A request while a call is in flight has no effect. Watch does not block.
func (w *Watcher) Watch(on bool) {
	if on {
		notify(w.watchRequested)
	}
}

// SetAddress changes the address of discovery. The watcher ends the call in flight, calls the new address and requests
// the complete list.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.generation, w.addressVersion = address, 0, w.addressVersion+1
	notify(w.addressChanged)
	w.cancelCall(errAddressChanged)
}

// notify sends to a channel of capacity one, unless the channel is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drain receives from a channel, unless the channel is empty.
func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// callTarget holds the parameters of a call: the address, the last version received from it, and the value of
// Watcher.addressVersion to which both belong.
type callTarget struct {
	address        string
	generation     int64
	addressVersion int
}

// currentTarget returns the parameters of the next call and stores the function that cancels that call.
func (w *Watcher) currentTarget(cancelCall context.CancelCauseFunc) callTarget {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall = cancelCall
	return callTarget{w.address, w.generation, w.addressVersion}
}

// setGeneration stores the last version received. It returns false and stores nothing if the address has changed since
// the call began: lists from an old address are ignored.
func (w *Watcher) setGeneration(generation int64, addressVersion int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.addressVersion == addressVersion {
		w.generation = generation
	}
	return w.addressVersion == addressVersion
}

// Run makes calls to discovery until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	if !w.awaitFirstCall(ctx) {
		return
	}
	for backoff := w.limits.DiscoveryBackoff; ; {
		start := time.Now()
		gotData, err := w.watch(ctx)
		drain(w.watchRequested) // a request made during the call was for that call
		if ctx.Err() != nil {
			return
		}
		log.Printf("watch on the list of workers ended: %v", err)
		w.OnList(decision.ListFailed, nil)
		// The random delay keeps the dispatchers from calling all at once when discovery recovers: discovery serves
		// calls one at a time. The watcher does not wait for the module's next request, which can come after the grace
		// period of a drain that was announced meanwhile.
		delay := backoff/2 + rand.N(backoff)
		if gotData || errors.Is(err, errAddressChanged) {
			// Discovery is available. It counts the data that it wrote when the watch broke off as delivered, so the
			// next call must come soon. When the backoff grew with each broken watch, it outlasted the grace period of
			// a drain.
			backoff = w.limits.DiscoveryBackoff
			if delay = rand.N(backoff / 4); time.Since(start) < backoff {
				delay += backoff / 4
			}
		}
		switch w.pause(ctx, delay) {
		case pauseCancelled:
			return
		case pauseAddressChanged: // no call to the new address has failed yet
			backoff = w.limits.DiscoveryBackoff
			continue
		}
		if !gotData {
			backoff = min(2*backoff, w.limits.DiscoveryBackoffMax)
		}
	}
}

// awaitFirstCall waits until the first call is due. It returns false if ctx is done before that.
func (w *Watcher) awaitFirstCall(ctx context.Context) bool {
	watchRequested := w.watchRequested
	if w.currentTarget(w.cancelCall).address == "" { // without discovery, only the operator's file lists workers
		w.OnList(decision.ListFull, nil)
		watchRequested = nil
	} else if w.pushMode { // the module waits for lists without requesting a watch
		w.Watch(true)
	}
	select {
	case <-ctx.Done():
		return false
	case <-watchRequested:
	case <-w.addressChanged:
	}
	return true
}

// pauseEnd is the reason why a pause ended.
type pauseEnd int

const (
	pauseOver pauseEnd = iota // the delay has passed, or the module has requested a watch
	pauseAddressChanged
	pauseCancelled
)

// pause waits until the next call is due: after the delay, or earlier on a request or a change of the address.
func (w *Watcher) pause(ctx context.Context, delay time.Duration) pauseEnd {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return pauseCancelled
	case <-w.addressChanged:
		return pauseAddressChanged
	case <-w.watchRequested:
	case <-timer.C:
	}
	return pauseOver
}
