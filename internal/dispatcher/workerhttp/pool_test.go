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

// opened is a connection as acquire leaves it to the caller to open.
func opened(t *testing.T, p *pool, address string) *conn {
	t.Helper()
	c, err := p.acquire(address)
	if c != nil || err != nil {
		t.Fatalf("acquire %s: %v, %v; a new connection is to be opened", address, c, err)
	}
	here, there := net.Pipe()
	t.Cleanup(func() { there.Close() })
	return newConn(here, p)
}

func checkCounts(t *testing.T, p *pool, what string, idle, open int) {
	t.Helper()
	if i, o := p.counts(); i != idle || o != open {
		t.Errorf("%s: %d idle of %d open, want %d of %d", what, i, o, idle, open)
	}
}

func TestPoolGivesTheConnectionUsedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		first, second := opened(t, p, "a"), opened(t, p, "a")
		checkCounts(t, p, "in use", 0, 2)
		p.release("a", first, 0)
		p.release("a", second, 0)
		checkCounts(t, p, "released", 2, 2)
		if c, err := p.acquire("a"); c != second || err != nil {
			t.Errorf("acquire: %v, %v", c, err)
		}
		opened(t, p, "b").Close()
		checkCounts(t, p, "one of them in use", 1, 2)
		p.closeIdle("a")
		checkCounts(t, p, "closed", 0, 1)
		second.Close()
		second.Close() // counts once
		checkCounts(t, p, "all closed", 0, 0)
	})
}

func TestPoolClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		p.release("a", opened(t, p, "a"), 0)
		time.Sleep(time.Minute - time.Nanosecond)
		synctest.Wait()
		checkCounts(t, p, "before its time", 1, 1)
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		checkCounts(t, p, "at its time", 0, 0)
	})
}

func TestPoolKeepsConnectionsInQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(10)
		c := opened(t, p, "a")
		p.release("a", c, time.Second)
		other := opened(t, p, "a")
		p.release("a", other, 2*time.Second)
		time.Sleep(time.Second)
		if got, err := p.acquire("a"); got != c || err != nil {
			t.Errorf("behind its quarantine: %v, %v", got, err)
		}
		c.Close()
		p.closeIdle("a")
		checkCounts(t, p, "closed", 0, 0)
	})
}

func TestFullPoolClosesTheConnectionThatWasIdleLongest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(2)
		first := opened(t, p, "a")
		p.release("a", first, 0)
		time.Sleep(time.Second)
		second := opened(t, p, "b")
		p.release("b", second, 0)
		third := opened(t, p, "c")
		checkCounts(t, p, "one made room", 1, 2)
		if _, err := first.Conn.Write(nil); err == nil {
			t.Error("the connection that was idle longest is open")
		}
		fourth := opened(t, p, "d")
		if _, err := p.acquire("e"); !errors.Is(err, errPoolFull) {
			t.Errorf("with none idle: %v", err)
		}
		third.Close()
		fourth.Close()
		checkCounts(t, p, "closed", 0, 0)
	})
}
