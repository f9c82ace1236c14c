package network

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Socket options that detect a peer that vanished without closing its connections. They are the values of
// TCP_USER_TIMEOUT (RFC 5482), TCP_KEEPIDLE, TCP_KEEPINTVL and TCP_KEEPCNT; see tcp(7).
const (
	userTimeout       = 2 * time.Second // longest time that sent bytes may stay unacknowledged
	keepAliveIdle     = time.Second     // idle time before the first probe
	keepAliveInterval = time.Second     // time between probes
	keepAliveCount    = 3               // number of unanswered probes after which the connection ends
)

// TCP implements Network by the TCP of the operating system. Its connections detect a vanished peer within seconds. The
// zero value is ready to use.
type TCP struct{}

var _ Network = TCP{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	config.SetMultipathTCP(false) // Multipath TCP doesn't support TCP_USER_TIMEOUT
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, trace.Wrap(err)
}

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAlive()}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	return connection, trace.Wrap(err)
}

// keepAlive returns the keep-alive options of all connections. They are not set by a Control function, because the
// standard library applies its KeepAliveConfig after Control and would overwrite them.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// setUserTimeout is a Control function that sets TCP_USER_TIMEOUT. Accepted connections inherit the option from their
// listener.
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
