// Package floor carries attempts to workers over HTTP/1.1 connections of its
// own. It owns those connections: it opens, keeps, counts and closes them,
// writes each request once and reads the answer line by line. It must never
// send anything a second time, put a second request on a busy connection, say
// that an attempt never ran unless that is proved, or choose a worker.
package floor

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ivyfold"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
)

// Floor is the workers' side of the program.
type Floor struct {
	// Dial opens a connection; tests put their own in its place.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	node     *config.Node
	lim      config.Limits
	counters *dispatch.Counters
	mu       sync.Mutex
	idle     map[string][]*link // by address, the one used last at the end
	open     int
}

// link is one connection to a worker. It is either idle, in the pool, or held by one attempt.
type link struct {
	net.Conn
	floor *Floor
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

// New makes a floor; counters are the core's.
func New(n *config.Node, counters *dispatch.Counters) *Floor {
	d := net.Dialer{KeepAlive: -1}
	return &Floor{node: n, lim: n.Limits, counters: counters, idle: map[string][]*link{},
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }}
}

// Send starts an attempt; its outcome comes through the attempt's End.
func (f *Floor) Send(a *dispatch.Attempt) { go f.carry(a) }

// CloseIdle closes the idle connections to a worker.
func (f *Floor) CloseIdle(w config.Worker) {
	f.mu.Lock()
	links := f.idle[w.Address]
	delete(f.idle, w.Address)
	f.mu.Unlock()
	for _, l := range links {
		l.reap.Stop()
		l.Close()
	}
}

// Idle tells how many connections are idle and how many are open in all.
func (f *Floor) Idle() (idle, open int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, links := range f.idle {
		idle += len(links)
	}
	return idle, f.open
}

// carry takes an attempt from its connection to its outcome.
func (f *Floor) carry(a *dispatch.Attempt) {
	l, o := f.link(a)
	if l == nil {
		a.End(o, ivyfold.Load{}, nil)
		return
	}
	if !a.MayStart() { // the worker was told off, or the client left, while it came up: nothing has been written
		f.keep(a.Worker.Address, l, 0)
		a.End(ivyfold.Moot, ivyfold.Load{}, nil)
		return
	}
	l.SetDeadline(a.Until)
	// Given up, the attempt ends at once: a deadline in the past breaks off whatever waits on the connection.
	stop := context.AfterFunc(a.Ctx, func() { l.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := f.request(a)
	if n, err := l.Write(request); n < len(request) || err != nil {
		l.Close() // before its last byte a request is none: it cannot have run
		a.End(ivyfold.ConnectFailed, ivyfold.Load{}, nil)
		return
	}
	a.Whole()
	r := f.read(a, l)
	clean := r.clean && stop()
	if !clean { // before it is told: another send may follow
		l.Close()
	}
	early := clean && r.rest != nil && !l.holds(r.length)
	if early { // what is still to come of the framing may never come: the answer need not wait for it
		a.End(r.outcome, r.load, r.result)
	}
	if clean && (r.rest == nil || f.finish(l, r.rest)) {
		f.keep(a.Worker.Address, l, r.rests)
	} else if clean {
		l.Close()
	}
	if !early {
		a.End(r.outcome, r.load, r.result)
	}
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
func (f *Floor) link(a *dispatch.Attempt) (*link, ivyfold.Outcome) {
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
		if l.reap.Stop() && time.Since(l.since) < f.lim.WorkerIdle && l.quiet() {
			f.counters.Reused.Add(1)
			return l, 0
		}
		l.Close()
	}
	var spare *link
	if f.open >= f.lim.FloorConns {
		if spare = f.oldest(); spare == nil {
			f.mu.Unlock()
			return nil, ivyfold.Moot
		}
	}
	f.open++ // counted before it is up: a descriptor is held from the first moment
	f.mu.Unlock()
	if spare != nil {
		spare.Close()
	}
	ctx, cancel := context.WithDeadline(a.Ctx, a.Until)
	defer cancel()
	ctx, cancel = context.WithTimeout(ctx, f.lim.Connect)
	defer cancel()
	conn, err := f.Dial(ctx, a.Worker.Address)
	if err != nil {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
		return nil, ivyfold.ConnectFailed
	}
	f.counters.Dialled.Add(1)
	l := &link{Conn: conn, floor: f}
	l.from = bufio.NewReaderSize(l, 4<<10)
	return l, 0
}

// oldest takes the connection that has been idle longest out of the pool. The lock is held.
func (f *Floor) oldest() (found *link) {
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
func (f *Floor) keep(address string, l *link, rests time.Duration) {
	if l.from.Buffered() > 0 { // it said more than its answer: whatever that is, it answers nothing of ours
		l.Close()
		return
	}
	l.SetDeadline(time.Time{})
	l.since = time.Now()
	l.rests = l.since.Add(rests)
	f.mu.Lock()
	defer f.mu.Unlock()
	l.reap = time.AfterFunc(f.lim.WorkerIdle, func() {
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

// request words an attempt. What the client sent stands as it came.
func (f *Floor) request(a *dispatch.Attempt) []byte {
	j := a.Job
	b := make([]byte, 0, 512+len(j.Body))
	line := func(name, value string) { b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...) }
	b = append(append(append(b, "POST "...), j.Target...), " HTTP/1.1\r\n"...)
	if !slices.ContainsFunc(j.Head, func(h dispatch.Field) bool { return h.Name == "Host" }) {
		line("Host", a.Worker.Address)
	}
	for _, h := range j.Head {
		line(h.Name, h.Value)
	}
	line("X-Request-ID", j.ID)
	if j.Key != "" {
		line("Idempotency-Key", j.Key)
	}
	line("X-Timeout", strconv.FormatFloat(max(time.Until(a.Until), time.Millisecond).Seconds(), 'f', 3, 64))
	line("Content-Length", strconv.Itoa(len(j.Body)))
	return append(append(b, "\r\n"...), j.Body...)
}

// said is what a worker's answer came to.
type said struct {
	outcome ivyfold.Outcome
	load    ivyfold.Load
	result  []byte
	clean   bool          // the connection may serve again
	rest    io.Reader     // what still has to be read before it does
	length  int64         // its length where the head says it, else -1
	rests   time.Duration // how long the connection does not serve
}

func (f *Floor) read(a *dispatch.Attempt, l *link) said {
	for {
		l.left = f.lim.Head + 2*f.lim.Line
		resp, err := http.ReadResponse(l.from, &http.Request{Method: http.MethodPost})
		if err != nil {
			return said{outcome: broke(a, err)}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		s := said{outcome: ivyfold.Error, clean: !resp.Close, rest: resp.Body, length: resp.ContentLength, load: f.loadLine(resp.Header.Get("X-Server-Load"))}
		if resp.StatusCode == http.StatusOK {
			return f.lines(a, l, resp, s)
		}
		// It names no job. A second one of it, some milliseconds late, would pass for the next job's: that would count as one
		// that never ran, or has ended, while it runs.
		s.rests = f.lim.LateAnswer
		switch resp.StatusCode {
		case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			if resp.Header.Get("X-Not-Processed") == "1" {
				s.outcome = ivyfold.Full
			}
		}
		return s
	}
}

// broke names the outcome of an attempt whose request went out whole and whose answer broke off.
func broke(a *dispatch.Attempt, err error) ivyfold.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.Ctx.Err() != nil:
		return ivyfold.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ivyfold.TimedOut
	}
	return ivyfold.Reset
}

// Line is one line of a worker's answer.
type Line struct {
	ID     string          `json:"id"`
	From   string          `json:"from"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// ending notes whether its reader has come to the end.
type ending struct {
	io.Reader
	over bool
}

func (e *ending) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	e.over = e.over || err == io.EOF
	return n, err
}

// chunks reads a body in chunks. Unlike the library's reader it gives what has come of one chunk before it looks for the
// next: a last line is not held back by an end that is late, or never comes.
type chunks struct {
	from        *bufio.Reader
	left        uint64
	begun, over bool
}

var errChunk = errors.New("a chunk cannot be read")

func (c *chunks) Read(p []byte) (int, error) {
	for c.left == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n, err := c.from.Read(p[:min(uint64(len(p)), c.left)])
	c.left -= uint64(n)
	return n, broken(err)
}

// next reads up to the next chunk's first byte, or to the end of them all.
func (c *chunks) next() error {
	if c.over {
		return io.EOF
	}
	if c.begun { // the end of the chunk before
		if end, err := c.line(); err != nil || end != "" {
			return cmp.Or(err, errChunk)
		}
	}
	size, err := c.line()
	if err != nil {
		return err
	}
	size, _, _ = strings.Cut(size, ";")
	if c.left, err = strconv.ParseUint(strings.TrimSpace(size), 16, 63); err != nil {
		return errChunk
	}
	c.begun = true
	for trailer := " "; c.left == 0 && trailer != ""; {
		if trailer, err = c.line(); err != nil {
			return err
		}
	}
	if c.over = c.left == 0; c.over {
		return io.EOF
	}
	return nil
}

func (c *chunks) line() (string, error) {
	text, err := c.from.ReadSlice('\n')
	if err != nil {
		return "", broken(err)
	}
	return strings.TrimSuffix(string(text[:len(text)-1]), "\r"), nil
}

// broken words an end in the middle.
func broken(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// lines follows a job's answer to its last line. Chunks may cut lines anywhere.
func (f *Floor) lines(a *dispatch.Attempt, l *link, resp *http.Response, s said) said {
	body := &ending{Reader: resp.Body}
	if len(resp.TransferEncoding) == 1 && resp.TransferEncoding[0] == "chunked" {
		body.Reader = &chunks{from: l.from}
		s.rest = body
	}
	in := bufio.NewScanner(body)
	in.Buffer(make([]byte, 0, 1<<10), f.lim.Line)
	for in.Scan() {
		text := bytes.TrimSpace(in.Bytes())
		if len(text) == 0 {
			continue
		}
		o, load, result := Read(f.node, a, text)
		if o == 0 {
			continue
		}
		s.outcome, s.load, s.result = o, load, result
		s.clean = s.clean && o != ivyfold.Reset // after a break or a foreign line nothing on it can be trusted
		if s.length = -1; body.over {
			s.rest = nil
		}
		return s
	}
	s.outcome, s.clean, s.rest = ivyfold.Reset, false, nil
	if err := in.Err(); err != nil {
		s.outcome = broke(a, err)
	}
	return s
}

// Read takes one line of a worker's answer to an attempt, whatever wire brought it. The outcome is 0 until the last.
func Read(n *config.Node, a *dispatch.Attempt, text []byte) (ivyfold.Outcome, ivyfold.Load, []byte) {
	var l Line
	if err := json.Unmarshal(text, &l); err != nil || l.ID != a.Job.ID {
		// Cut off, or the answer to something else: nothing is proved, and nothing of it goes to the client.
		return ivyfold.Reset, ivyfold.Load{}, nil
	}
	load := loadObject(n, l.Load)
	switch l.State {
	case "started":
		a.Note(ivyfold.NoteStarted, 0)
	case "running":
		a.Note(ivyfold.NoteProgress, l.Share)
	case "done":
		if len(l.Result) == 0 { // done without a result: there is none to give to the client
			return ivyfold.Error, load, nil
		}
		result := []byte(l.Result)
		var plain string
		if json.Unmarshal(l.Result, &plain) == nil {
			result = []byte(plain)
		}
		return ivyfold.OK, load, result
	case "failed":
		return ivyfold.Error, load, nil
	case "returned":
		return ivyfold.Full, load, nil
	case "lost":
		return ivyfold.Reset, load, nil
	}
	return 0, ivyfold.Load{}, nil
}

// finish reads what follows the last line, so that the connection can serve again.
func (f *Floor) finish(l *link, rest io.Reader) bool {
	l.SetDeadline(time.Now().Add(f.lim.TailWait))
	n, err := io.Copy(io.Discard, io.LimitReader(rest, int64(f.lim.LateReads)+1))
	return err == nil && n <= int64(f.lim.LateReads)
}

// figures gathers a load report; one that lacks a figure is none.
func figures(n *config.Node, each func(put func(word string, v float64))) (l ivyfold.Load) {
	found := 0
	each(func(word string, v float64) {
		if i := n.Figure(word); i >= 0 && i < len(l.Values) {
			l.Values[i] = v
			found |= 1 << i
		}
	})
	if want := min(len(n.LoadFields), len(l.Values)); want > 0 && found == 1<<want-1 {
		l.N = want
	}
	return l
}

// loadLine reads a report as a header has it: TEXT name=value, name=value.
func (f *Floor) loadLine(text string) ivyfold.Load {
	return figures(f.node, func(put func(string, float64)) {
		for part := range strings.FieldsFuncSeq(text, func(r rune) bool { return r == ' ' || r == ',' }) {
			if name, value, ok := strings.Cut(part, "="); ok {
				if v, err := strconv.ParseFloat(value, 64); err == nil {
					put(name, v)
				}
			}
		}
	})
}

func loadObject(n *config.Node, text json.RawMessage) ivyfold.Load {
	var object map[string]any
	if len(text) == 0 || json.Unmarshal(text, &object) != nil {
		return ivyfold.Load{}
	}
	return figures(n, func(put func(string, float64)) {
		for name, v := range object {
			if v, ok := v.(float64); ok {
				put(name, v)
			}
		}
	})
}
