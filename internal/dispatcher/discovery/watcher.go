// Package discovery keeps the watch on discovery's list of workers: one HTTP call
// whose answer goes on for as long as it can, with an object for each change.
//
// Watcher owns the one call that is out, the address it goes to, the version of
// the list last heard of there, and the watchdog that ends a watch gone silent.
// The first call comes when the decision module asks for a watch, or at once
// where lists are pushed: there nobody asks. After a call that has ended the
// watcher calls again by itself, with a backoff, and reports every end as
// decision.ListFailed. It never has two calls out, and it does not judge workers.
//
// Run has one goroutine, on which everything is read and OnList is called. Watch
// and SetAddress may be called on any; what they share with Run is under
// Watcher.mu or passes through channels.
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

// Why a call has ended, where it was not the connection's end.
var (
	errSilent = errors.New("discovery has gone silent")
	errMoved  = errors.New("discovery is at another address now")
)

// Watcher watches discovery. Its exported fields are set before Run.
type Watcher struct {
	// OnList gets the lists that discovery sends, and decision.ListFailed once for each call that ends.
	OnList func(decision.ListKind, []config.Worker)
	// Dial opens a connection; tests put their own in its place.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	node   *config.Node
	limits config.Limits
	client *http.Client
	pushed bool          // an agent on this machine holds what it was sent, and gives it to whoever calls
	asked  chan struct{} // the module wants a watch
	moved  chan struct{} // the address has changed

	// What is odd is logged once.
	logForeign, logOutdated, logUnreadable sync.Once

	mu         sync.Mutex
	address    string
	generation int64                   // last heard of at this address; another's versions mean nothing here
	moves      int                     // addresses so far
	hangUp     context.CancelCauseFunc // ends the call that is out
}

// New makes a watcher. The list that the node knows gives the version to go on from.
func New(n *config.Node) *Watcher {
	w := &Watcher{
		Dial:       (&net.Dialer{Timeout: n.Limits.DiscoveryCallTimeout, KeepAlive: -1}).DialContext,
		node:       n,
		limits:     n.Limits,
		pushed:     n.Module.Discovery == decision.DiscoveryPush,
		asked:      make(chan struct{}, 1),
		moved:      make(chan struct{}, 1),
		address:    n.Discovery,
		generation: n.KnownWorkers.Generation,
		hangUp:     func(error) {},
	}
	w.client = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, // each call has a connection of its own: nothing is left for a library to send again
		MaxConnsPerHost:   n.Limits.DiscoveryConns,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return w.Dial(ctx, network, address)
		},
		MaxResponseHeaderBytes: int64(n.Limits.HeadBytes),
	}}
	return w
}

// Watch asks for a watch. While one is up or being called, asking again changes nothing. It does not block.
func (w *Watcher) Watch(on bool) {
	if on {
		notify(w.asked)
	}
}

// SetAddress names another address of discovery. The watch goes over to it at once and asks for the complete list.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address, w.generation, w.moves = address, 0, w.moves+1
	notify(w.moved)
	w.hangUp(errMoved)
}

// notify puts a value into a channel that has room for one, where there is none yet.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drain takes a value out of a channel, where there is one.
func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// target is what a call is made with: the address, the version that was heard of there, and the number of the move that
// they belong to.
type target struct {
	address    string
	generation int64
	moves      int
}

// currentTarget returns what the next call is made with, and notes what ends that call.
func (w *Watcher) currentTarget(hangUp context.CancelCauseFunc) target {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangUp = hangUp
	return target{w.address, w.generation, w.moves}
}

// setGeneration notes the version that was heard of. It returns false where the address has changed since: an old address
// has no say any more.
func (w *Watcher) setGeneration(generation int64, moves int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moves == moves {
		w.generation = generation
	}
	return w.moves == moves
}

// Run makes the calls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	if !w.awaitFirst(ctx) {
		return
	}
	for backoff := w.limits.DiscoveryBackoff; ; {
		began := time.Now()
		up, err := w.watch(ctx)
		drain(w.asked) // what was asked for while the call was out was that same call
		if ctx.Err() != nil {
			return
		}
		log.Printf("the watch on the list of workers has ended: %v", err)
		w.OnList(decision.ListFailed, nil)
		// Spread, lest all dispatchers call together when discovery comes back: it takes calls in turn. The module asks
		// again by itself, but later than a drain may wait that was announced meanwhile.
		delay := backoff/2 + rand.N(backoff)
		if up || errors.Is(err, errMoved) {
			// Discovery answers, and what it wrote when the watch broke off counts as delivered: there is no time to lose. A
			// backoff that grew with each watch that broke outlasted the grace of a drain.
			backoff = w.limits.DiscoveryBackoff
			if delay = rand.N(backoff / 4); time.Since(began) < backoff {
				delay += backoff / 4
			}
		}
		switch w.pause(ctx, delay) {
		case pauseCancelled:
			return
		case pauseMoved: // nothing has gone wrong there yet
			backoff = w.limits.DiscoveryBackoff
			continue
		}
		if !up {
			backoff = min(2*backoff, w.limits.DiscoveryBackoffMax)
		}
	}
}

// awaitFirst waits until the first call is due. It returns false where ctx has ended before.
func (w *Watcher) awaitFirst(ctx context.Context) bool {
	asked := w.asked
	if w.currentTarget(w.hangUp).address == "" { // no discovery: the list is what the operator's file says
		w.OnList(decision.ListFull, nil)
		asked = nil
	} else if w.pushed { // the module waits for lists that come unasked
		w.Watch(true)
	}
	select {
	case <-ctx.Done():
		return false
	case <-asked:
	case <-w.moved:
	}
	return true
}

// pauseEnd is why a pause has ended.
type pauseEnd int

const (
	pauseOver pauseEnd = iota // its time, or the module has asked
	pauseMoved
	pauseCancelled
)

// pause waits until the next call is due.
func (w *Watcher) pause(ctx context.Context, delay time.Duration) pauseEnd {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return pauseCancelled
	case <-w.moved:
		return pauseMoved
	case <-w.asked:
	case <-timer.C:
	}
	return pauseOver
}
