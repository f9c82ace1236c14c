package workerhttp

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gladepick/internal/dispatcher/config"
)

func newTestPool(limit int) *pool {
	return &pool{limits: config.Limits{WorkerConns: limit, WorkerIdleTimeout: time.Minute}, idle: map[string][]*conn{}}
}

// openConn acquires a slot in the pool and opens a new connection for it, as a caller of acquire does.
func openConn(t *testing.T, p *pool, address string) *conn {
	t.Helper()
	c, err := p.acquire(address)
	if c != nil || err != nil {
		t.Fatalf("acquire %s: got connection %v, error %v; want a new slot", address, c, err)
	}
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	return newConn(local, p)
}

func checkCounts(t *testing.T, p *pool, what string, idle, open int) {
	t.Helper()
	if i, o := p.counts(); i != idle || o != open {
		t.Errorf("%s: %d of %d open connections are idle, want %d of %d", what, i, o, idle, open)
	}
}

func TestPoolReturnsTheMostRecentlyUsedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		first, second := openConn(t, p, "a"), openConn(t, p, "a")
		checkCounts(t, p, "in use", 0, 2)
		p.release("a", first, 0)
		p.release("a", second, 0)
		checkCounts(t, p, "released", 2, 2)
		if c, err := p.acquire("a"); c != second || err != nil {
			t.Errorf("acquire: got connection %v, error %v; want the second connection", c, err)
		}
		openConn(t, p, "b").Close()
		checkCounts(t, p, "one of them in use", 1, 2)
		p.closeIdle("a")
		checkCounts(t, p, "closed", 0, 1)
		second.Close()
		second.Close() // must not be counted again
		checkCounts(t, p, "all closed", 0, 0)
	})
}

func TestPoolClosesConnectionsAtTheIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		p.release("a", openConn(t, p, "a"), 0)
		time.Sleep(time.Minute - time.Nanosecond)
		synctest.Wait()
		checkCounts(t, p, "before the idle time-out", 1, 1)
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		checkCounts(t, p, "at the idle time-out", 0, 0)
	})
}

func TestPoolDoesNotReuseConnectionsInQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		c := openConn(t, p, "a")
		p.release("a", c, time.Second)
		other := openConn(t, p, "a")
		p.release("a", other, 2*time.Second)
		time.Sleep(time.Second)
		if got, err := p.acquire("a"); got != c || err != nil {
			t.Errorf("after the quarantine: got connection %v, error %v", got, err)
		}
		c.Close()
		p.closeIdle("a")
		checkCounts(t, p, "closed", 0, 0)
	})
}

func TestFullPoolEvictsTheConnectionIdleLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(2)
		first := openConn(t, p, "a")
		p.release("a", first, 0)
		time.Sleep(time.Second)
		second := openConn(t, p, "b")
		p.release("b", second, 0)
		third := openConn(t, p, "c")
		checkCounts(t, p, "one evicted", 1, 2)
		if _, err := first.Conn.Write(nil); err == nil {
			t.Error("the connection that has been idle longest is still open")
		}
		fourth := openConn(t, p, "d")
		if _, err := p.acquire("e"); !errors.Is(err, errPoolFull) {
			t.Errorf("acquire with no idle connection: got error %v, want errPoolFull", err)
		}
		third.Close()
		fourth.Close()
		checkCounts(t, p, "closed", 0, 0)
	})
}
