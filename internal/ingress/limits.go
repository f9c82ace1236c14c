package ingress

import (
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Limits that apply where no configuration gives any.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
)

// writeTimeout bounds a request from its header to its answer's last byte. It leaves room for bodyTimeout and
// maxPutTimeout.
const writeTimeout = 20 * time.Second

// errLimitsChanged ends an http.Server's accepting when the configuration gives other limits than it was made with.
var errLimitsChanged = errors.New("ingress: limits of connections have changed")

// connectionLimits are the limits that an http.Server has for its connections.
type connectionLimits struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// defaultLimits apply before the first configuration, and on listeners that it does not govern.
var defaultLimits = connectionLimits{
	maxHeaderBytes: defaultMaxHeaderBytes,
	headerTimeout:  defaultHeaderTimeout,
	idleTimeout:    defaultIdleTimeout,
}

// connectionLimits returns the newest configuration's limits, or defaults while there is none.
func (f *Front) connectionLimits() connectionLimits {
	table := f.options.Configuration()
	if table == nil {
		return defaultLimits
	}
	return connectionLimits{
		maxHeaderBytes: table.Limits.MaxHeaderBytes,
		headerTimeout:  table.Limits.HeaderTimeout,
		idleTimeout:    table.Limits.IdleTimeout,
	}
}

// newServer returns a server for clients' connections with these limits.
func (f *Front) newServer(limits connectionLimits) *http.Server {
	server := newServer(f.handler, f.options.Logger, limits)
	server.ConnState = f.connections.setState
	return server
}

// NewServer returns a server for one of a process's other listeners, with timeouts of its own.
func NewServer(handler http.Handler, logger *zap.Logger) *http.Server {
	return newServer(handler, logger, defaultLimits)
}

func newServer(handler http.Handler, logger *zap.Logger, limits connectionLimits) *http.Server {
	errorLog, err := zap.NewStdLogAt(logger, zap.WarnLevel)
	if err != nil {
		errorLog = zap.NewStdLog(logger)
	}
	return &http.Server{
		Handler:                      handler,
		ReadHeaderTimeout:            limits.headerTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  limits.idleTimeout,
		MaxHeaderBytes:               limits.maxHeaderBytes,
		ErrorLog:                     errorLog,
		DisableGeneralOptionsHandler: true,
	}
}

// limitedListener hands connections to one http.Server after another. Accept fails with errLimitsChanged where the
// limits are no longer those of the server that calls it, and leaves the new connection to the next server. It is used
// by one goroutine at a time.
type limitedListener struct {
	net.Listener
	limits  func() connectionLimits
	current connectionLimits // those of the current server
	pending net.Conn         // accepted for the next server
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	connection := l.pending
	l.pending = nil
	if connection == nil {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		connection = accepted
	}
	if l.limits() != l.current {
		l.pending = connection
		return nil, errLimitsChanged
	}
	return connection, nil
}

// Close does nothing: an http.Server closes its listener when it ends, but the next one still needs it.
func (l *limitedListener) Close() error { return nil }
