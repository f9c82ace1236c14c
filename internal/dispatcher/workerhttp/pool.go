package workerhttp

import (
	"errors"
	"slices"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// errPoolFull is returned by acquire if Limits.WorkerConns connections are open and none of them is idle.
var errPoolFull = errors.New("too many connections to workers")

// pool holds the idle connections to all workers and counts the open ones.
type pool struct {
	limits config.Limits

	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
	open int                // idle, in use, and being established
}

// acquire removes an idle connection to an address from the pool. If there is none, it returns nil and counts a new
// connection as open: the caller opens it, or calls releaseSlot if that fails. If the pool is full, acquire closes the
// connection that has been idle longest.
func (p *pool) acquire(address string) (*conn, error) {
	for {
		p.mu.Lock()
		c := p.removeIdle(address)
		if c == nil {
			break // with mu locked
		}
		p.mu.Unlock()
		if c.idleTimer.Stop() && time.Since(c.idleSince) < p.limits.WorkerIdleTimeout && c.isReusable() {
			return c, nil
		}
		c.Close()
	}
	var evicted *conn
	if p.open >= p.limits.WorkerConns {
		if evicted = p.removeOldest(); evicted == nil {
			p.mu.Unlock()
			return nil, errPoolFull
		}
	}
	p.open++ // counted before it is established, because the dial already uses a file descriptor
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return nil, nil
}

// removeIdle removes and returns the most recently used connection to an address that is not in quarantine. The caller
// holds mu.
func (p *pool) removeIdle(address string) *conn {
	conns := p.idle[address]
	i := len(conns) - 1
	for i >= 0 && time.Now().Before(conns[i].quarantinedUntil) {
		i--
	}
	if i < 0 {
		return nil
	}
	c := conns[i]
	p.idle[address] = slices.Delete(conns, i, i+1)
	return c
}

// removeOldest removes and returns the connection that has been idle longest. The caller holds mu.
func (p *pool) removeOldest() (oldest *conn) {
	oldestAddress := ""
	for address, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest, oldestAddress = conns[0], address
		}
	}
	if oldest != nil {
		p.idle[oldestAddress] = slices.Delete(p.idle[oldestAddress], 0, 1)
		oldest.idleTimer.Stop()
	}
	return oldest
}

// release returns a reusable connection to the pool. The pool closes it after WorkerIdleTimeout, before the worker
// does. The connection carries no request until the quarantine has passed.
func (p *pool) release(address string, c *conn, quarantine time.Duration) {
	if c.reader.Buffered() > 0 { // the worker sent data after its answer, which answers no request
		c.Close()
		return
	}
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	c.quarantinedUntil = c.idleSince.Add(quarantine)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleTimer = time.AfterFunc(p.limits.WorkerIdleTimeout, func() { p.expire(address, c) })
	p.idle[address] = append(p.idle[address], c)
}

// expire closes a connection that has been idle for WorkerIdleTimeout.
func (p *pool) expire(address string, c *conn) {
	p.mu.Lock()
	if i := slices.Index(p.idle[address], c); i >= 0 {
		p.idle[address] = slices.Delete(p.idle[address], i, i+1)
	}
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
	p.mu.Unlock()
	c.Close()
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.idleTimer.Stop()
		c.Close()
	}
}

// releaseSlot subtracts one connection from those that are counted as open.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// counts returns the number of idle connections and the number of all open ones.
func (p *pool) counts() (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return idle, p.open
}
