// Package clienthttp is the front for clients that speak the platform's HTTP/1.1
// protocol. It checks what they send, makes a Job of it and writes the one
// answer that the core gives. It must never send anything to a worker, choose
// an answer of its own for a job that the core has taken, or keep a given-up
// job waiting.
package clienthttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Portal serves clients over HTTP/1.1.
type Server struct {
	Members func(context.Context) (any, bool)                 // what GET /members shows; nil: the membership is off. Set before Serve
	Leases  func(ctx context.Context, key string) (any, bool) // what GET /leases shows; nil: jobs are not taken for keeps
	Jobs    dispatch.Submitter                                // what takes the jobs; the core, if nothing else is set before Serve

	core    *dispatch.Core
	node    *config.Node
	lim     config.Limits
	server  *http.Server
	door    *door
	bodies  atomic.Int64 // bytes of bodies that are held
	leaving atomic.Bool
	left    atomic.Pointer[time.Time] // when the end began
}

// New makes a portal in front of a core.
func New(n *config.Node, core *dispatch.Core) *Server {
	p := &Server{core: core, Jobs: core, node: n, lim: n.Limits, door: newDoor(n.Limits)}
	p.server = &http.Server{
		Handler: p, ReadTimeout: p.lim.ReadTimeout, IdleTimeout: p.lim.ClientIdleTimeout, MaxHeaderBytes: p.lim.HeadBytes,
		ErrorLog: log.Default(),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, guestKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateIdle {
				c.(*guest).reach(idle)
			}
		},
	}
	return p
}

// Serve takes connections until the portal has said farewell.
func (p *Server) Serve(l net.Listener) error {
	if !p.door.open(l) {
		return nil
	}
	err := p.server.Serve(p.door)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave begins the end: the front is told no, and every answer closes its connection. New ones are still taken.
func (p *Server) Drain() {
	now := time.Now()
	p.left.CompareAndSwap(nil, &now)
	p.leaving.Store(true)
}

// Farewell closes the listener and idle connections and waits for the open answers. The server's own end would not do:
// it takes a connection for idle on which the door has just read a request.
func (p *Server) Shutdown(ctx context.Context) error {
	p.Drain()
	return p.door.farewell(ctx)
}

// ServeHTTP answers one request of a client, or one of the questions that operators and the platform ask.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	rc.SetWriteDeadline(time.Now().Add(2 * p.lim.ReadTimeout))
	bad := func(status int, text string) { // nothing more is read from a connection that was misused
		p.core.Counters.Malformed.Add(1)
		w.Header().Set("Connection", "close")
		say(w, status, text)
	}
	g := guestOf(r.Context())
	if g.status != 0 {
		bad(g.status, g.fault)
		return
	}
	if g.through { // where its body ends the door does not know
		w.Header().Set("Connection", "close")
	}
	if r.Method == http.MethodGet {
		p.part(w, g)
		p.tell(w, r)
		return
	}
	held := r.ContentLength
	if held < 0 {
		held = p.lim.BodyBytes
	}
	defer p.bodies.Add(-held)
	if p.bodies.Add(held) > p.lim.AllBodiesBytes {
		p.core.Counters.Overflow.Add(1)
		w.Header().Set("Connection", "close")
		refuse(w, p.lim.RetryAfter)
		return
	}
	job, status, err := p.read(w, r)
	if err != nil {
		bad(status, err.Error())
		return
	}
	// The body is read: from here on only the client's going away ends the request early.
	rc.SetReadDeadline(time.Time{})
	if left := p.left.Load(); left != nil {
		if late := time.Since(*left); late > p.lim.DrainDelay { // whoever ends this process may wait no longer than that
			job.Timeout = max(min(job.Timeout, p.lim.LastAnswerWindow-late), time.Millisecond)
		}
	}
	if g.departed() { // it left while its request waited to be read
		p.core.Counters.Abandoned.Add(1)
		dismiss(w)
		return
	}
	answers := make(chan dispatch.Answer, 1)
	job.Reply = func(a dispatch.Answer) { answers <- a }
	switch err := p.Jobs.Submit(job); {
	case errors.Is(err, dispatch.ErrDuplicateID):
		bad(http.StatusConflict, err.Error())
		return
	case err != nil:
		p.part(w, g)
		refuse(w, p.lim.RetryAfter)
		return
	}
	var left chan struct{}
	if g.through { // the door lets all pass that follows such a body; the server reads one byte of it and no more
		left = make(chan struct{})
		go func() {
			// Up to the client's end, to the answer, which breaks reading off, or to what a client may send too much.
			io.Copy(io.Discard, io.LimitReader(g.Conn, p.lim.LingerBytes))
			close(left)
		}()
	}
	leaves := func() {
		p.Jobs.Abandon(job)
		dismiss(w)
	}
	select {
	case a := <-answers:
		p.part(w, g)
		rc.SetWriteDeadline(time.Now().Add(p.lim.ReadTimeout))
		switch a.Kind {
		case dispatch.Served:
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Header().Set("Content-Length", strconv.Itoa(len(a.Result)))
			w.Write(a.Result)
		case dispatch.Rejected:
			refuse(w, a.RetryAfter)
		default:
			say(w, http.StatusBadGateway, "the job failed")
		}
	case <-r.Context().Done():
		leaves()
	case <-left:
		leaves()
	}
}

// dismiss ends a request whose client has left. One that has only ended its sending hears that nothing comes of it;
// without this the server would word a success.
func dismiss(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	say(w, http.StatusBadGateway, "the client has left")
}

// part makes an answer close its connection on leaving. It looks when the answer is there: a job may have waited
// meanwhile.
func (p *Server) part(w http.ResponseWriter, g *guest) {
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
		g.stopAttending()
	}
}

// tell answers what is not a job.
func (p *Server) tell(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/up":
		if p.leaving.Load() {
			say(w, http.StatusServiceUnavailable, "leaving")
			return
		}
		say(w, http.StatusOK, "up")
	case "/counters":
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(p.core.Counts())
	case "/members":
		show(w, r, "the membership", p.Members)
	case "/leases":
		if p.Leases == nil {
			show(w, r, "taking jobs for keeps", nil)
			return
		}
		show(w, r, "taking jobs for keeps", func(ctx context.Context) (any, bool) { return p.Leases(ctx, r.URL.Query().Get("key")) })
	default:
		say(w, http.StatusNotFound, "jobs come by POST")
	}
}

// show answers with what a part of the program tells of itself.
func show(w http.ResponseWriter, r *http.Request, what string, tell func(context.Context) (any, bool)) {
	if tell == nil {
		say(w, http.StatusNotFound, what+" is off")
		return
	}
	v, ok := tell(r.Context())
	if !ok {
		say(w, http.StatusServiceUnavailable, what+" has ended")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func say(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	io.WriteString(w, text+"\n")
}

// later words a time to come back.
func later(after time.Duration) string { return strconv.FormatFloat(after.Seconds(), 'f', 3, 64) }

func refuse(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", later(after))
	say(w, http.StatusServiceUnavailable, "refused: try again later")
}

// dropped are the header lines that are this connection's own or are worded anew for the worker.
var dropped = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", "X-Timeout", "X-Request-Id", "Idempotency-Key"}

// read makes a job of a request, or says what is wrong with it.
func (p *Server) read(w http.ResponseWriter, r *http.Request) (*dispatch.Job, int, error) {
	bad := func(format string, v ...any) (*dispatch.Job, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, v...)
	}
	if r.Method != http.MethodPost {
		return nil, http.StatusMethodNotAllowed, errors.New("jobs come by POST")
	}
	if !strings.HasPrefix(r.RequestURI, "/") {
		return bad("the request target must be a path")
	}
	for _, name := range []string{"X-Request-ID", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return bad("%s stands more than once", name)
		}
	}
	j := &dispatch.Job{Target: r.RequestURI, ID: r.Header.Get("X-Request-ID"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Retry: r.Header.Get("X-Retried") == "1"}
	if j.ID == "" || !IsHeaderSafe(j.ID) {
		return bad("X-Request-ID is missing or cannot pass on as it is")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	parts := strings.Split(path[1:], "/")
	class := r.Header.Get("X-Priority-Class")
	if class != parts[0] {
		return bad("X-Priority-Class %q is not the first part of the path", class)
	}
	var err error
	if err = AssignClassAndTenant(p.node, j, class, r.Header.Get("X-Tenant-Id")); err != nil {
		return bad("%v", err)
	}
	if last := parts[len(parts)-1]; len(parts) > 1 && last != "" {
		j.AffinityKey = dispatch.AffinityKey(last)
	}
	if j.Timeout, err = ParseTimeout(r.Header.Get("X-Timeout"), time.Second, p.lim.MaxJobTimeout); err != nil {
		return bad("X-Timeout: %v", err)
	}
	for part := range strings.SplitSeq(r.Header.Get("X-Attrs"), ",") {
		name, value, _ := strings.Cut(part, "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		switch strings.TrimSpace(name) {
		case "":
			continue
		case "slots":
			j.Slots = v
		case "memory", "ram_units":
			j.Memory = v
		default:
			continue // figures that this module does not ask for
		}
		if err != nil || !(v >= 0 && v < math.MaxInt32) {
			return bad("X-Attrs: %q is not a figure", part)
		}
	}
	j.Header = append(j.Header, dispatch.HeaderField{Name: "Host", Value: r.Host})
	own := strings.Split(r.Header.Get("Connection"), ",")
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		mine := slices.ContainsFunc(own, func(s string) bool { return strings.EqualFold(strings.TrimSpace(s), name) })
		if !mine && !slices.Contains(dropped, name) {
			for _, v := range r.Header[name] {
				j.Header = append(j.Header, dispatch.HeaderField{Name: name, Value: v})
			}
		}
	}
	if j.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, p.lim.BodyBytes)); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("a body holds %d bytes at most", p.lim.BodyBytes)
		}
		return bad("the body broke off")
	}
	return j, 0, nil
}

// Admit finds the job's class and university by their names, whichever front it came through.
func AssignClassAndTenant(n *config.Node, j *dispatch.Job, class, tenant string) error {
	if j.Class = config.Index(n.Classes, class); j.Class < 0 {
		return fmt.Errorf("class %q is unknown", class)
	}
	if j.Tenant = config.Index(n.Tenants, tenant); j.Tenant < 0 && len(n.Tenants) > 0 {
		return fmt.Errorf("university %q is unknown", tenant)
	}
	if n.Module.Classes[j.Class].Idempotency == decision.Deduplicated && j.IdempotencyKey == "" {
		return fmt.Errorf("a job of class %q needs a key", class)
	}
	if len(j.IdempotencyKey) > 256 {
		return errors.New("the key is too long")
	}
	return nil
}

// Plain tells whether a word can stand in any wire's head as it is.
func IsHeaderSafe(s string) bool {
	return len(s) <= 256 && !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// Patience reads how long a client waits, in a unit: a plain decimal above zero. What ParseFloat takes beyond that (Inf,
// hexadecimal, exponents) is none that any client means.
func ParseTimeout(text string, unit, most time.Duration) (time.Duration, error) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0) || len(text) > 24 || strings.Trim(text, "0123456789.") != "" {
		return 0, fmt.Errorf("%.24q is not a time above zero", text)
	}
	if v > float64(most)/float64(unit) {
		return 0, fmt.Errorf("%s is longer than anybody may wait", text)
	}
	return max(time.Duration(v*float64(unit)), time.Millisecond), nil
}
