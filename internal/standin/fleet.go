// A fleet on loopback for checking the planner: workers that keep time, slots,
// queues, cold starts and shared machines over real sockets, discovery that
// lists them late, clients that do not wait for answers. The dispatchers are
// the program itself, one process each. It follows the model's description of a
// fleet, and shares with the model only how requests are drawn and counted.

package standin

import (
	"bufio"
	"bytes"
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ivyfold/internal/config"
	"ivyfold/internal/model"
)

// Fleet is a described fleet at work on loopback.
type Fleet struct {
	desc    *model.Fleet
	load    *model.Load
	seed    uint64
	program string
	dir     string // of configurations and captures
	host    int    // 127.host.x.y: days side by side keep apart
	start   time.Time
	workers []*machine
	seats   []*seat
	mu      sync.Mutex
	past    map[string]chan bool // keys that ran or run; closed once done
	late    atomic.Int64         // nanoseconds that reports are later just now
}

// seat is a dispatcher with what is its own: its view of discovery.
type seat struct {
	zone    string
	address string
	roster  *Roster
	server  *http.Server
	process *exec.Cmd
	gen     int64
}

// machine is one worker.
type machine struct {
	f       *Fleet
	id      string
	kind    model.Kind
	zone    string
	speed   float64
	mu      sync.Mutex
	up      bool
	born    time.Time // zero: warm
	process int
	taken   float64
	each    float64
	counted time.Time
	running piles
	waiting []*piece
	timer   *time.Timer
	ports   []net.Listener
	conns   map[net.Conn]bool
	views   []view
	every   time.Duration
	delay   time.Duration
	done    int
}

type view struct {
	at   time.Time
	text string
}

// piece is a job at a machine; its stages come out in order.
type piece struct {
	work, finish float64
	stage        chan time.Time // started, then done; closed without if the machine died
}

type piles []*piece

func (p piles) Len() int           { return len(p) }
func (p piles) Less(i, k int) bool { return p[i].finish < p[k].finish }
func (p piles) Swap(i, k int)      { p[i], p[k] = p[k], p[i] }
func (p *piles) Push(v any)        { *p = append(*p, v.(*piece)) }
func (p *piles) Pop() any {
	old := *p
	last := old[len(old)-1]
	*p = old[:len(old)-1]
	return last
}

func dur(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// PlayOnSockets plays a day and gives its book. program is the dispatcher, dir holds what it is told, and its captures
// below capture-N. host is a number from 1 to 250 that no other day has just now.
func PlayOnSockets(desc *model.Fleet, load *model.Load, seed uint64, program, dir string, host int) (*model.Result, error) {
	f := &Fleet{desc: desc.Filled(), load: load, seed: seed, program: program, dir: dir, host: host, past: map[string]chan bool{}}
	book, err := model.NewBook(desc, load)
	if err != nil {
		return nil, err
	}
	next, err := model.Arrivals(desc, load, seed)
	if err != nil {
		return nil, err
	}
	defer f.end()
	if err := f.begin(); err != nil {
		return nil, err
	}
	f.start = time.Now()
	f.troubles()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := 0; ; n++ {
		a, ok := next()
		if !ok {
			break
		}
		time.Sleep(time.Until(f.start.Add(a.At)))
		mu.Lock()
		ended := book.Request(a)
		mu.Unlock()
		all.Go(func() {
			ok, took := f.client(client, a, n)
			mu.Lock()
			ended(ok, took)
			mu.Unlock()
		})
	}
	all.Wait()
	return book.Close(), nil
}

// begin brings workers, discovery and dispatchers up.
func (f *Fleet) begin() error {
	rng := rand.New(rand.NewPCG(f.seed, 77))
	for _, g := range f.desc.Dispatchers {
		for range g.Count {
			f.seats = append(f.seats, &seat{zone: g.Zone, gen: 1, address: fmt.Sprintf("127.%d.0.%d:5000", f.host, len(f.seats)+1)})
		}
	}
	for _, g := range f.desc.Workers {
		for _, k := range f.desc.Kinds {
			for n := 0; k.Name == g.Kind && n < g.Count; n++ {
				m := &machine{f: f, id: fmt.Sprintf("s-%08x", uint32(len(f.workers)+1)*2654435761), kind: k, zone: g.Zone, speed: k.Speed.Draw(rng), up: true,
					conns: map[net.Conn]bool{}, every: dur(f.desc.ReportEveryS.Draw(rng)), delay: dur(f.desc.ReportDelayS.Draw(rng))}
				f.workers = append(f.workers, m)
				if err := m.listen(len(f.workers)); err != nil {
					return err
				}
				go m.report(m.process)
			}
		}
	}
	for i, s := range f.seats {
		s.roster = &Roster{Changes: make(chan string, 1000)}
		for _, m := range f.workers {
			s.roster.Whole.Workers = append(s.roster.Whole.Workers, m.line(i, "ready"))
		}
		s.roster.Whole.Generation, s.roster.Whole.Reset = 1, true
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:8500", f.host, i+1))
		if err != nil {
			return err
		}
		s.server = &http.Server{Handler: s.roster}
		go s.server.Serve(l)
		if err := f.dispatcher(i, s, l.Addr().String()); err != nil {
			return err
		}
	}
	for _, s := range f.seats {
		for n := 0; ; n++ {
			if resp, err := http.Get("http://" + s.address + "/up"); err == nil {
				resp.Body.Close()
				break
			} else if n > 200 {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(300 * time.Millisecond) // the watches come up
	return nil
}

func (f *Fleet) dispatcher(i int, s *seat, discovery string) error {
	capture := filepath.Join(f.dir, fmt.Sprintf("capture-%d", i))
	if err := os.MkdirAll(capture, 0o700); err != nil {
		return err
	}
	group := f.desc.Dispatchers[0]
	at := i
	for _, g := range f.desc.Dispatchers {
		if group = g; at < g.Count {
			break
		}
		at -= g.Count
	}
	// The program derives its limits from descriptors: the open jobs asked for come out of it.
	sockets := 1024
	if group.OpenJobs > 0 {
		sockets = max(min(group.OpenJobs*9/5*10/9+8, 1024), 64)
	}
	text, err := json.Marshal(map[string]any{"seed": fmt.Sprintf("%x", f.seed*1000+uint64(i)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known": s.roster.Whole, "settings": f.settings(i)})
	if err != nil {
		return err
	}
	conf, record := filepath.Join(f.dir, fmt.Sprintf("node-%d.json", i)), filepath.Join(f.dir, fmt.Sprintf("capture-%d.json", i))
	if err := os.WriteFile(conf, text, 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(record, fmt.Appendf(nil, `{"dir":%q,"salt":"s"}`, capture), 0o600); err != nil {
		return err
	}
	s.process = exec.Command(f.program)
	s.process.Env = append(os.Environ(), "NODE_NAME=n"+strconv.Itoa(i), "NODE_LISTEN="+s.address, "NODE_DISCOVERY="+discovery, "NODE_CONFIG="+conf, "NODE_CAPTURE="+record)
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("node-%d.log", i)))
	if err != nil {
		return err
	}
	defer log.Close()
	s.process.Stderr = log
	return s.process.Start()
}

// settings are those of the platform's form.
func (f *Fleet) settings(i int) map[string]any {
	d := f.desc
	ns := func(s float64) int64 { return int64(dur(s)) }
	var classes, tenants []any
	var kinds, stretch, class []any
	effect := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "aim": ns(c.AimS), "deadline": ns(c.DeadlineS), "effect": effect[c.Effect], "group": "all",
			"late_value": c.LateWorth, "value": c.Worth, "window": ns(c.WindowS)})
		stretch, class = append(stretch, c.Stretch), append(class, -1)
	}
	for _, u := range d.Universities {
		tenants = append(tenants, map[string]any{"name": u.Name, "portion": u.Share, "allowance_per_s": u.PerSecS})
	}
	for _, k := range d.Kinds {
		kinds = append(kinds, k.Name)
	}
	zone := 0
	for z, name := range d.Zones {
		if name == f.seats[i].zone {
			zone = z
		}
	}
	return map[string]any{"position": i, "balancers": len(f.seats), "classes": classes, "tenants": tenants, "kinds": kinds, "zones": d.Zones, "zone": zone,
		"discovery": "subscribe", "round": 2000000, "over_share_worth": d.OverWorth, "report": map[string]any{"fields": []string{"x0", "fail_rate", "rate", "q"}, "how": "piggyback"},
		"invariants": map[string]any{"ask_within": ns(10), "cold_from": d.Cold.Share, "drain_grace": ns(d.DrainGraceS), "fall": ns(d.Cold.SpanS), "fall_multiple": d.Cold.Multiple,
			"grace_to_answer": 8000000, "warm_after": ns(d.Cold.WarmS)},
		"limits":    map[string]any{"cancelling": true, "conn_idle": ns(d.ConnIdleS), "connect_timeout": ns(d.ConnectMs / 1000), "max_attempts": d.Attempts, "max_retry_after": ns(2)},
		"specifics": map[string]any{"class_kind": class, "class_stretch": stretch, "progress": ns(1), "tells_start": true}}
}

func (f *Fleet) end() {
	for _, s := range f.seats {
		if s.process != nil && s.process.Process != nil {
			s.process.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, s := range f.seats {
		if s.process != nil && s.process.Process != nil {
			s.process.Wait()
		}
		if s.server != nil {
			s.server.Close()
		}
	}
	for _, m := range f.workers {
		m.die()
	}
}

// client makes a request and repeats it as the load says; it tells whether it was served, and when after its arrival.
func (f *Fleet) client(client *http.Client, a model.Arrival, n int) (bool, time.Duration) {
	c, u := f.desc.Classes[a.Class], f.desc.Universities[a.University]
	came := time.Now()
	until := came.Add(dur(c.DeadlineS))
	for try := 0; ; try++ {
		left := time.Until(until)
		ctx, cancel := context.WithDeadline(context.Background(), until)
		req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+f.seats[a.Node].address+"/"+c.Name, strings.NewReader(strconv.FormatFloat(a.Work, 'g', -1, 64)))
		req.Header.Set("X-Request-ID", fmt.Sprintf("%x-%d-%d", f.seed, n, try))
		req.Header.Set("X-Priority-Class", c.Name)
		req.Header.Set("X-Tenant-Id", u.Name)
		req.Header.Set("X-Timeout", strconv.FormatFloat(left.Seconds(), 'f', 4, 64))
		if c.Effect == "keyed" {
			req.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", n+1))
		}
		if try > 0 {
			req.Header.Set("X-Retried", "1")
		}
		resp, err := client.Do(req)
		status, after := 0, 0.0
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
			after, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		}
		cancel()
		if err == nil && status == 200 {
			return true, time.Since(came)
		}
		wait := dur(f.load.Retries.WaitMs / 1000)
		if f.load.Retries.Honours {
			wait = max(wait, dur(after))
		}
		if try >= f.load.Retries.Most || time.Now().Add(wait).After(until) {
			return false, time.Since(came)
		}
		time.Sleep(wait)
	}
}

// hop is the time one way between a zone and a machine.
func (m *machine) hop(zone string) time.Duration {
	base := m.f.desc.SameZoneMs
	if zone != m.zone {
		base = m.f.desc.CrossZoneMs
	}
	return time.Duration(base * (1 + m.f.desc.Jitter*(2*rand.Float64()-1)) * float64(time.Millisecond))
}

func (m *machine) line(dispatcher int, state string) config.Worker {
	w := config.Worker{ID: m.id, Zone: m.zone, Kind: m.kind.Name, State: state, Weight: 1}
	if len(m.ports) > dispatcher {
		w.Address = m.ports[dispatcher].Addr().String()
	}
	if !m.born.IsZero() {
		w.StartedAtMs = m.born.UnixMilli()
	}
	return w
}

// listen opens a port for each dispatcher, so that a connection tells from how far it comes.
func (m *machine) listen(number int) error {
	m.ports = nil
	for i, s := range m.f.seats {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", m.f.host, 10+i, number, 5000))
		if err != nil {
			return err
		}
		m.ports = append(m.ports, l)
		process := m.process
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go m.serve(conn, s.zone, process)
			}
		}()
	}
	return nil
}

func (m *machine) serve(conn net.Conn, zone string, process int) {
	m.mu.Lock()
	if !m.up || m.process != process || m.kind.Connections > 0 && len(m.conns) >= m.kind.Connections {
		m.mu.Unlock()
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		return
	}
	m.conns[conn] = true
	m.mu.Unlock()
	defer func() {
		conn.Close()
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	more := m.kind.ConnectionMs / 1000
	came := 2 * time.Duration(m.f.desc.Trips*float64(m.hop(zone))) // the connection itself takes so long
	for {
		conn.SetReadDeadline(time.Now().Add(dur(m.f.desc.ConnIdleS)))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		work, err := strconv.ParseFloat(string(bytes.TrimSpace(body)), 64)
		if err != nil {
			return
		}
		time.Sleep(came + m.hop(zone))
		if !m.answer(conn, r, work+more, zone) {
			return
		}
		came, more = 0, 0
	}
}

// answer takes a job and tells its stages, each as long under way as the zones are apart.
func (m *machine) answer(conn net.Conn, r *http.Request, work float64, zone string) bool {
	id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
	write := func(at time.Time, text string) bool {
		time.Sleep(time.Until(at.Add(m.hop(zone))))
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	chunk := func(state, more string) string {
		s := line(id, m.id, state, more)
		return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
	}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	finished := func() string { return chunk("done", `,"result":"ok"`+m.load()) + "0\r\n\r\n" }
	var first chan bool
	if key != "" {
		m.f.mu.Lock()
		before := m.f.past[key]
		if before == nil {
			first = make(chan bool)
			m.f.past[key] = first
		}
		m.f.mu.Unlock()
		if before != nil {
			<-before
			return write(time.Now(), head+finished())
		}
	}
	forget := func() {
		if first != nil {
			m.f.mu.Lock()
			delete(m.f.past, key)
			m.f.mu.Unlock()
			close(first)
		}
	}
	p := m.take(work)
	if p == nil {
		forget()
		return write(time.Now(), "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n"+m.loadHead()+"\r\n")
	}
	at, ok := <-p.stage
	if !ok {
		forget()
		return false
	}
	open := write(at, head+chunk("started", ""))
	for beat := time.NewTicker(time.Second); ; {
		select {
		case at, ok = <-p.stage:
			beat.Stop()
			if !ok {
				forget()
				return false
			}
			if first != nil {
				close(first)
			}
			return open && write(at, finished())
		case <-beat.C:
			open = open && write(time.Now(), chunk("running", `,"share":0.5`))
		}
	}
}

// rate is the service a second of each running job.
func (m *machine) rate(at time.Time) float64 {
	capacity := 1.0
	if !m.born.IsZero() {
		capacity = min(m.kind.ColdShare+(1-m.kind.ColdShare)*at.Sub(m.born).Seconds()/max(m.kind.WarmS, 1e-9), 1)
	}
	return m.speed * capacity * min(1, m.kind.Cores*(1-m.taken)/float64(max(len(m.running), 1)))
}

// move brings the service up to now, lets jobs end and begin, and sets the next look. The lock is held.
func (m *machine) move() {
	now := time.Now()
	if span := now.Sub(m.counted); len(m.running) > 0 && span > 0 {
		m.each += m.rate(m.counted.Add(span/2)) * span.Seconds()
	}
	m.counted = now
	for len(m.running) > 0 && m.running[0].finish <= m.each+1e-7 {
		p := heap.Pop(&m.running).(*piece)
		p.stage <- now
		m.done++
	}
	for len(m.waiting) > 0 && len(m.running) < m.kind.Slots {
		m.begin(m.waiting[0], now)
		m.waiting = m.waiting[1:]
	}
	if m.timer != nil {
		m.timer.Stop()
	}
	if len(m.running) > 0 {
		wait := time.Hour
		if r := m.rate(now); r > 0 {
			wait = dur(min((m.running[0].finish-m.each)/r, 1000))
		}
		if !m.born.IsZero() {
			wait = min(wait, 20*time.Millisecond)
		}
		m.timer = time.AfterFunc(wait, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.move()
		})
	}
}

func (m *machine) begin(p *piece, now time.Time) {
	p.finish = m.each + p.work
	heap.Push(&m.running, p)
	p.stage <- now
}

func (m *machine) take(work float64) *piece {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.move()
	p := &piece{work: work, stage: make(chan time.Time, 2)}
	switch {
	case !m.up:
		close(p.stage)
		return p
	case len(m.running) < m.kind.Slots && len(m.waiting) == 0:
		m.begin(p, m.counted)
	case len(m.waiting) < m.kind.Queue:
		m.waiting = append(m.waiting, p)
	default:
		return nil
	}
	m.move()
	return p
}

func (m *machine) report(process int) {
	time.Sleep(time.Duration(rand.Float64() * float64(m.every)))
	for {
		m.mu.Lock()
		text := fmt.Sprintf("x0=%d, eps=0, qps=%.2f, queue=%d", m.kind.Slots-len(m.running), float64(m.done)/m.every.Seconds(), len(m.waiting))
		m.done = 0
		m.views = append(m.views, view{time.Now(), text})
		if len(m.views) > 64 {
			m.views = m.views[1:]
		}
		over := m.ports == nil || m.process != process
		m.mu.Unlock()
		if over {
			return
		}
		time.Sleep(m.every)
	}
}

func (m *machine) seen() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.views) - 1; i >= 0; i-- {
		if time.Since(m.views[i].at) >= m.delay+time.Duration(m.f.late.Load()) {
			return m.views[i].text
		}
	}
	return ""
}

func (m *machine) loadHead() string {
	if s := m.seen(); s != "" {
		return "X-Server-Load: TEXT " + s + "\r\n"
	}
	return ""
}

func (m *machine) load() string {
	s := m.seen()
	if s == "" {
		return ""
	}
	s = strings.NewReplacer("eps=", "fail_rate=", "qps=", "rate=", "queue=", "q=").Replace(s)
	var parts []string
	for _, p := range strings.Split(s, ", ") {
		k, v, _ := strings.Cut(p, "=")
		parts = append(parts, fmt.Sprintf("%q:%s", k, v))
	}
	return `,"load":{` + strings.Join(parts, ",") + "}"
}

func (m *machine) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.move()
	m.up = false
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, p := range append(m.running, m.waiting...) {
		close(p.stage)
	}
	m.running, m.waiting = nil, nil
	for _, l := range m.ports {
		l.Close()
	}
	for conn := range m.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	m.ports, m.conns = nil, map[net.Conn]bool{}
}

func (m *machine) rise(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process++
	m.up, m.born, m.counted, m.each = true, time.Now(), time.Now(), 0
	if err := m.listen(number); err != nil {
		panic(err) // a port of this day's own was taken: nothing that is measured now means anything
	}
	go m.report(m.process)
}

// tell lets every dispatcher's discovery say a worker's state, each after a delay of its own.
func (f *Fleet) tell(m *machine, state string) {
	for i, s := range f.seats {
		r := f.desc.RosterS
		m.mu.Lock()
		w := m.line(i, state)
		m.mu.Unlock()
		time.AfterFunc(dur(r[0]+rand.Float64()*(r[1]-r[0])), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			s.gen++
			text, _ := json.Marshal(config.Roster{Generation: s.gen, Workers: []config.Worker{w}})
			s.roster.Changes <- string(text)
		})
	}
}

// troubles sets up what the description says goes wrong.
func (f *Fleet) troubles() {
	rng := rand.New(rand.NewPCG(f.seed, 78))
	for _, t := range f.desc.Troubles {
		var hit []int
		for i, m := range f.workers {
			if (t.Zone == "" || m.zone == t.Zone) && (t.Kind == "" || m.kind.Name == t.Kind) {
				hit = append(hit, i)
			}
		}
		rng.Shuffle(len(hit), func(i, k int) { hit[i], hit[k] = hit[k], hit[i] })
		hit = hit[:int(t.Part*float64(len(hit))+0.5)]
		each := func(at float64, do func(i int, m *machine)) {
			time.AfterFunc(dur(at), func() {
				for _, i := range hit {
					do(i, f.workers[i])
				}
			})
		}
		set := func(share float64) func(int, *machine) {
			return func(_ int, m *machine) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.move()
				m.taken = share
				m.move()
			}
		}
		end := t.AtS + t.ForS
		switch t.What {
		case "deaths":
			each(t.AtS, func(_ int, m *machine) { m.die(); f.tell(m, "gone") })
			each(end, func(i int, m *machine) { m.rise(i + 1); f.tell(m, "ready") })
		case "drain":
			each(t.AtS, func(_ int, m *machine) { f.tell(m, "draining") })
			each(end, func(i int, m *machine) { m.die(); m.rise(i + 1); f.tell(m, "ready") })
		case "shared":
			for at := t.AtS; at < end; at += t.OnS + t.OffS {
				each(at, set(t.Takes))
				each(min(at+t.OnS, end), set(0))
			}
		case "reports_late":
			time.AfterFunc(dur(t.AtS), func() { f.late.Store(int64(dur(t.Takes))) })
			time.AfterFunc(dur(end), func() { f.late.Store(0) })
		}
	}
}
