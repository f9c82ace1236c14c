package ingress

import (
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Limits that apply without a configuration.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
)

// writeTimeout limits the time from the end of a request's header to the last byte of its response. It exceeds the sum
// of bodyTimeout and maxPutTimeout.
const writeTimeout = 20 * time.Second

// errLimitsChanged ends http.Server.Serve when the configured limits differ from those of the server.
var errLimitsChanged = errors.New("ingress: connection limits have changed")

// connectionLimits are the limits that an http.Server applies to its connections.
type connectionLimits struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
}

// defaultLimits apply until the first configuration arrives, and to the listeners that NewServer serves.
var defaultLimits = connectionLimits{
	maxHeaderBytes: defaultMaxHeaderBytes,
	headerTimeout:  defaultHeaderTimeout,
	idleTimeout:    defaultIdleTimeout,
}

// connectionLimits returns the limits of the newest configuration, or the defaults while there is none.
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

// newServer returns a server for client connections with the given limits.
func (f *Front) newServer(limits connectionLimits) *http.Server {
	server := newServer(f.handler, f.options.Logger, limits)
	server.ConnState = f.connections.setState
	return server
}

// NewServer returns a server for a listener other than the front's, such as the operator's. Its limits don't depend on
// the configuration.
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

// limitedListener is the listener of a sequence of http.Servers, one at a time. If the limits have changed since the
// current server was created, Accept fails with errLimitsChanged and keeps the new connection for the next server. Only
// one goroutine at a time may use it.
type limitedListener struct {
	net.Listener
	limits  func() connectionLimits
	current connectionLimits // limits of the current server
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

// Close does nothing: http.Server.Serve closes its listener when it returns, but the next server still needs it.
func (l *limitedListener) Close() error { return nil }
