package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestTCPSetsOptionsOnBothEnds(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialed, err := TCP{}.Dial(t.Context(), listener.Addr().String())
	assert.NilError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()

	for _, connection := range []net.Conn{dialed, accepted} {
		assert.Equal(t, option(t, connection, unix.IPPROTO_TCP, unix.TCP_NODELAY), 1)
		assert.Equal(t, option(t, connection, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), 2000)
		assert.Equal(t, option(t, connection, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
		assert.Equal(t, option(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
		assert.Equal(t, option(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
		assert.Equal(t, option(t, connection, unix.IPPROTO_TCP, unix.TCP_KEEPCNT), 3)
	}
}

func TestTCPDialIsRefusedWithoutListener(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = TCP{}.Dial(t.Context(), address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "got %v", err)
}

func TestTCPDialHonoursContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := TCP{}.Dial(ctx, "127.0.0.1:1")
	assert.Assert(t, err != nil)
}

func option(t *testing.T, connection net.Conn, level, name int) int {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	var optionError error
	err = raw.Control(func(descriptor uintptr) {
		value, optionError = unix.GetsockoptInt(int(descriptor), level, name)
	})
	assert.NilError(t, err)
	assert.NilError(t, optionError)
	return value
}
