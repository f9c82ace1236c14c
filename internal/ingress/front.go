package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"

	"gladepick/internal/ctxtime"
)

// drainPollInterval is the interval at which Drain closes idle connections and counts the remaining ones.
const drainPollInterval = 50 * time.Millisecond

// Front serves the HTTP requests of clients. Create it with NewFront.
type Front struct {
	options     Options
	handler     http.Handler
	counters    Counters
	bodies      bodyBudget
	connections connectionTracker
	draining    atomic.Bool

	listenerMutex sync.Mutex   // guards listener
	listener      net.Listener // set by Serve
}

// NewFront returns a front that does not serve a listener yet.
func NewFront(options Options) *Front {
	front := &Front{options: options.withDefaults()}
	front.bodies.limitBytes = front.options.MaxBufferedBytes
	front.handler = front.newRouter()
	return front
}

// Handler returns the handler of client requests.
func (f *Front) Handler() http.Handler { return f.handler }

// Counters returns the front's live counters.
func (f *Front) Counters() *Counters { return &f.counters }

// Ready reports whether the platform may send new connections. It returns the result of Options.Ready, or false once a
// drain has started.
func (f *Front) Ready() bool { return !f.draining.Load() && f.options.Ready() }

// newRouter routes queries about messages to their handlers and all other requests to serveMessage. It matches the path
// as received, without cleaning, because a message's target must not change.
func (f *Front) newRouter() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path(statePathPrefix + "{id}").MatcherFunc(f.isQuery).HandlerFunc(f.serveState)
	router.Path(bodyPathPrefix + "{id}").MatcherFunc(f.isQuery).HandlerFunc(f.serveBody)
	router.NotFoundHandler = http.HandlerFunc(f.serveMessage)
	return router
}

// Serve serves the connections of a listener. It returns nil after Drain has closed the listener or when the context
// ends. The end of the context closes all connections immediately. A front serves only one listener.
func (f *Front) Serve(ctx context.Context, listener net.Listener) error {
	f.setListener(listener)
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		f.connections.closeAll()
	})
	defer stop()

	err := f.acceptLoop(listener)
	if ctx.Err() != nil || f.draining.Load() {
		return nil
	}
	return trace.Wrap(err, "accepting clients' connections")
}

// acceptLoop serves new connections with the configuration's current limits. The limits are fields of http.Server, so
// when they change, a new server serves the connections accepted from then on. Open connections keep their limits.
func (f *Front) acceptLoop(listener net.Listener) error {
	limited := &limitedListener{Listener: listener, limits: f.connectionLimits}
	for {
		limited.current = f.connectionLimits()
		err := f.newServer(limited.current).Serve(limited)
		if err != errLimitsChanged {
			return err
		}
	}
}

func (f *Front) setListener(listener net.Listener) {
	f.listenerMutex.Lock()
	defer f.listenerMutex.Unlock()
	f.listener = listener
}

// closeListener stops accepting connections. It does nothing if Serve has not been called.
func (f *Front) closeListener() {
	f.listenerMutex.Lock()
	defer f.listenerMutex.Unlock()
	if f.listener != nil {
		f.listener.Close()
	}
}

// Drain shuts the front down gracefully. Ready returns false from the start. For Options.DrainAcceptDuration the front
// still accepts connections, and every response carries "Connection: close". Then the front closes the listener and the
// idle connections, and waits until the requests in progress have got their responses or the context ends.
func (f *Front) Drain(ctx context.Context) error {
	f.draining.Store(true)
	ctxtime.Sleep(ctx, f.options.DrainAcceptDuration)
	f.closeListener()

	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for f.connections.closeIdle() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "draining clients' connections")
		}
	}
	return nil
}

// announceDrain adds "Connection: close" to the response if the front is draining.
func (f *Front) announceDrain(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set(headerConnection, connectionClose)
	}
}
