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

// drainPollInterval is the pause between two looks at the connections that are left at the end of a drain.
const drainPollInterval = 50 * time.Millisecond

// Front serves clients.
type Front struct {
	options     Options
	handler     http.Handler
	counters    Counters
	bodies      bodyBudget
	connections connectionTracker
	draining    atomic.Bool

	listenerMutex sync.Mutex   // guards listener
	listener      net.Listener // set while Serve runs
}

// NewFront returns a front that is not serving yet.
func NewFront(options Options) *Front {
	front := &Front{options: options.withDefaults()}
	front.bodies.limitBytes = front.options.MaxBufferedBytes
	front.handler = front.newRouter()
	return front
}

// Handler returns the handler of clients' requests.
func (f *Front) Handler() http.Handler { return f.handler }

// Counters returns the counters, which go on counting.
func (f *Front) Counters() *Counters { return &f.counters }

// Ready reports whether the front wants new connections: Options.Ready, and false from the start of a drain.
func (f *Front) Ready() bool { return !f.draining.Load() && f.options.Ready() }

// newRouter sends queries about messages to their handlers and everything else to the message handler. Paths are matched
// as they came, without cleaning, since a message's target must not change.
func (f *Front) newRouter() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Path(statePathPrefix + "{id}").MatcherFunc(f.isQuery).HandlerFunc(f.serveState)
	router.Path(bodyPathPrefix + "{id}").MatcherFunc(f.isQuery).HandlerFunc(f.serveBody)
	router.NotFoundHandler = http.HandlerFunc(f.serveMessage)
	return router
}

// Serve answers the connections of a listener. It returns nil after Drain has closed the listener, or when the context
// ends; in that case all connections are closed at once. A front serves one listener.
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

// acceptLoop serves new connections by the configuration's current limits. Limits are fields of an http.Server, so
// other limits mean another server for the connections to come; those that are open keep theirs.
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

// closeListener ends the accepting, where Serve has been called.
func (f *Front) closeListener() {
	f.listenerMutex.Lock()
	defer f.listenerMutex.Unlock()
	if f.listener != nil {
		f.listener.Close()
	}
}

// Drain ends the front's work. The front stops being ready at once. For Options.DrainAcceptDuration it still accepts
// connections, and every answer announces that its connection closes. After that it accepts none, closes those without a
// request, and waits until the others have got their answers or the context ends.
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

// announceDrain notifies the client that its connection closes after this answer, where the front is draining.
func (f *Front) announceDrain(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set(headerConnection, connectionClose)
	}
}
