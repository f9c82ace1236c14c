package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// A peer that vanished without closing its connections is noticed within these limits: tcp(7), TCP_USER_TIMEOUT (RFC 5482)
// and TCP_KEEPIDLE, TCP_KEEPINTVL and TCP_KEEPCNT.
const (
	userTimeout       = 2 * time.Second // how long sent bytes may stay unacknowledged
	keepAliveIdle     = time.Second     // without any byte before the first probe
	keepAliveInterval = time.Second     // time between probes
	keepAliveCount    = 3               // unanswered probes that end the connection
)

// TCP is the operating system's network. Its connections notice a vanished peer within seconds. The zero value is ready
// to use.
type TCP struct{}

var _ Network = TCP{}

// Listen accepts connections at an address, "ip:port".
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	config.SetMultipathTCP(false) // it lacks the user timeout
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, trace.Wrap(err)
}

// Dial opens a connection to an address, "ip:port".
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	return connection, trace.Wrap(err)
}

// keepAlive is set by the standard library after Control has run, where it would overwrite options set by Control.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// setUserTimeout is a Control function. Accepted connections inherit the option from their listener.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionError error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(userTimeout / time.Millisecond)
		optionError = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(optionError)
}
