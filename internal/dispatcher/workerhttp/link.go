// Connections to workers: opening, pooling and closing them.

package workerhttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/dispatch"
)

// link is one connection to a worker. It is either idle, in the pool, or held by one attempt.
type link struct {
	net.Conn
	floor *Transport
	from  *bufio.Reader
	left  int       // bytes that the present answer may still take
	since time.Time // when it came into the pool
	rests time.Time // up to then it stays there
	reap  *time.Timer
	once  sync.Once
}

var errTooMuch = errors.New("the answer is larger than the limits allow")

// Read bounds what one answer may take, its head included.
func (l *link) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooMuch
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// Close gives the descriptor back, once.
func (l *link) Close() error {
	l.once.Do(func() {
		l.Conn.Close()
		l.floor.mu.Lock()
		l.floor.open--
		l.floor.mu.Unlock()
	})
	return nil
}

// holds tells whether the rest of a body has come: of one in chunks where length is -1, else of one not read from yet.
func (l *link) holds(length int64) bool {
	come, _ := l.from.Peek(l.from.Buffered())
	if length >= 0 {
		return int64(len(come)) >= length
	}
	return bytes.HasSuffix(come, []byte("0\r\n\r\n"))
}

// link gives a connection that is up and quiet, or the outcome that no connection means.
func (f *Transport) link(a *dispatch.Attempt) (*link, decision.Outcome) {
	for {
		f.mu.Lock()
		links := f.idle[a.Worker.Address]
		i := len(links) - 1
		for i >= 0 && time.Now().Before(links[i].rests) {
			i--
		}
		if i < 0 {
			break // with the lock held
		}
		l := links[i]
		f.idle[a.Worker.Address] = slices.Delete(links, i, i+1)
		f.mu.Unlock()
		if l.reap.Stop() && time.Since(l.since) < f.lim.WorkerIdleTimeout && l.quiet() {
			f.counters.Reused.Add(1)
			return l, 0
		}
		l.Close()
	}
	var spare *link
	if f.open >= f.lim.WorkerConns {
		if spare = f.oldest(); spare == nil {
			f.mu.Unlock()
			return nil, decision.NeverSent
		}
	}
	f.open++ // counted before it is up: a descriptor is held from the first moment
	f.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	ctx, cancel := context.WithDeadline(a.Context, a.Deadline)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, f.lim.ConnectTimeout)
	defer cancel()
	conn, err := f.Dial(ctx, a.Worker.Address)
	if err != nil {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
		return nil, decision.ConnectFailed
	}
	f.counters.Dialled.Add(1)
	l := &link{Conn: conn, floor: f}
	l.from = bufio.NewReaderSize(l, 4<<10)
	return l, 0
}

// oldest takes the connection that has been idle longest out of the pool. The lock is held.
func (f *Transport) oldest() (found *link) {
	at := ""
	for address, links := range f.idle {
		if len(links) > 0 && (found == nil || links[0].since.Before(found.since)) {
			found, at = links[0], address
		}
	}
	if found != nil {
		f.idle[at] = slices.Delete(f.idle[at], 0, 1)
		found.reap.Stop()
	}
	return found
}

// keep puts a clean connection into the pool, from which it is closed before the machine at the other end does. It rests
// there for a while first, where its answer named no job.
func (f *Transport) keep(address string, l *link, rests time.Duration) {
	if l.from.Buffered() > 0 { // it said more than its answer: whatever that is, it answers nothing of ours
		l.Close()
		return
	}
	l.SetDeadline(time.Time{})
	l.since = time.Now()
	l.rests = l.since.Add(rests)
	f.mu.Lock()
	defer f.mu.Unlock()
	l.reap = time.AfterFunc(f.lim.WorkerIdleTimeout, func() {
		f.mu.Lock()
		if i := slices.Index(f.idle[address], l); i >= 0 {
			f.idle[address] = slices.Delete(f.idle[address], i, i+1)
		}
		if len(f.idle[address]) == 0 {
			delete(f.idle, address)
		}
		f.mu.Unlock()
		l.Close()
	})
	f.idle[address] = append(f.idle[address], l)
}

// quiet tells whether an idle connection is still open with nothing to read: a look into the socket's queue, so
// that a close that has arrived is seen before anything is written.
func (l *link) quiet() bool {
	if l.from.Buffered() > 0 {
		return false
	}
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return quiet && err == nil
}

// finish reads what follows the last line, so that the connection can serve again.
func (f *Transport) finish(l *link, rest io.Reader) bool {
	l.SetDeadline(time.Now().Add(f.lim.TrailingTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(rest, int64(f.lim.TrailingBytes)+1))
	return err == nil && n <= int64(f.lim.TrailingBytes)
}
