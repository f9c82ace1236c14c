package workerhttp

import (
	"errors"
	"slices"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
)

// errPoolFull is the error of acquire where as many connections are open as may be, and none of them is idle.
var errPoolFull = errors.New("too many connections to workers")

// pool has the idle connections, and counts all that are open.
type pool struct {
	limits config.Limits

	mu   sync.Mutex
	idle map[string][]*conn // by address, the one used last at the end
	open int                // idle, in use, and coming up
}

// acquire takes an idle connection to an address out of the pool. Where there is none it returns nil and has counted a
// connection that the caller opens, or takes back with free; the connection that has been idle longest makes room.
func (p *pool) acquire(address string) (*conn, error) {
	for {
		p.mu.Lock()
		c := p.takeIdle(address)
		if c == nil {
			break // with the lock held
		}
		p.mu.Unlock()
		if c.idleTimer.Stop() && time.Since(c.idleSince) < p.limits.WorkerIdleTimeout && c.isQuiet() {
			return c, nil
		}
		c.Close()
	}
	var evicted *conn
	if p.open >= p.limits.WorkerConns {
		if evicted = p.takeOldest(); evicted == nil {
			p.mu.Unlock()
			return nil, errPoolFull
		}
	}
	p.open++ // before it is up: a descriptor is held from the first moment
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return nil, nil
}

// takeIdle takes the connection used last out of those to an address that are not in quarantine. The lock is held.
func (p *pool) takeIdle(address string) *conn {
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

// takeOldest takes the connection that has been idle longest out of the pool. The lock is held.
func (p *pool) takeOldest() (oldest *conn) {
	at := ""
	for address, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleSince.Before(oldest.idleSince)) {
			oldest, at = conns[0], address
		}
	}
	if oldest != nil {
		p.idle[at] = slices.Delete(p.idle[at], 0, 1)
		oldest.idleTimer.Stop()
	}
	return oldest
}

// release puts a clean connection into the pool, from which it is closed before the worker closes it. For the time of the
// quarantine it carries no request.
func (p *pool) release(address string, c *conn, quarantine time.Duration) {
	if c.reader.Buffered() > 0 { // it said more than its answer: whatever that is, it answers nothing of ours
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

// expire closes a connection that has been idle for too long.
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

// free takes back one connection from those that are counted as open.
func (p *pool) free() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// counts returns how many connections are idle, and how many are open in all.
func (p *pool) counts() (idle, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return idle, p.open
}
