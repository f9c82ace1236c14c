// A worker of a fleet: connections and answers.

package testenv

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/fleetsim"
	"gladepick/internal/priorityqueue"
)

// machine is one worker of a fleet.
type machine struct {
	f              *Fleet
	id             string
	kind           fleetsim.Kind
	zone           string
	speed          float64
	mu             sync.Mutex
	up             bool
	startedAt      time.Time // zero: up since before the run, without a slow start
	process        int       // number of restarts; tells apart connections and reports of earlier processes
	sharedFraction float64   // share of the cores that other tenants of the machine use
	servicePerJob  float64   // service that each running job has received, in seconds of work, up to advancedAt
	advancedAt     time.Time
	running        priorityqueue.Queue[*workerJob]
	waiting        []*workerJob
	timer          *time.Timer
	ports          []net.Listener // by dispatcher
	conns          map[net.Conn]bool
	reports        []loadReport  // the last 64 load reports
	reportInterval time.Duration // interval of load reports
	reportDelay    time.Duration // until a load report is visible in answers
	completed      int           // jobs done since the last load report
}

// oneWayDelay returns the network delay in one direction between a zone and the machine, with jitter.
func (m *machine) oneWayDelay(zone string) time.Duration {
	base := m.f.desc.SameZoneMs
	if zone != m.zone {
		base = m.f.desc.CrossZoneMs
	}
	return time.Duration(base * (1 + m.f.desc.Jitter*(2*rand.Float64()-1)) * float64(time.Millisecond))
}

// listEntry returns the worker's entry for the list of one dispatcher.
func (m *machine) listEntry(dispatcher int, state string) config.Worker {
	w := config.Worker{ID: m.id, Zone: m.zone, Kind: m.kind.Name, State: state, Weight: 1}
	if len(m.ports) > dispatcher {
		w.Address = m.ports[dispatcher].Addr().String()
	}
	if !m.startedAt.IsZero() {
		w.StartedAtMs = m.startedAt.UnixMilli()
	}
	return w
}

// listen opens a port for each dispatcher, so that the port of a connection tells the zone that it comes from.
func (m *machine) listen(number int) error {
	m.ports = nil
	for i, s := range m.f.dispatchers {
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

// serve handles one connection of a dispatcher in zone. It resets the connection if the worker is down, if the port
// belongs to an earlier process, or at the limit of connections.
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
	connectionWork := m.kind.ConnectionMs / 1000
	// The handshake delays the first request.
	connectDelay := 2 * time.Duration(m.f.desc.ConnectionRoundTrips*float64(m.oneWayDelay(zone)))
	for {
		conn.SetReadDeadline(time.Now().Add(dur(m.f.desc.ConnectionIdleSeconds)))
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
		time.Sleep(connectDelay + m.oneWayDelay(zone))
		if !m.answer(conn, r, work+connectionWork, zone) {
			return
		}
		connectDelay, connectionWork = 0, 0
	}
}

// answer runs a job and sends its stages, each after the one-way delay. It reports whether the connection stays open. A
// repeat of a key waits for the first execution and answers with its result.
func (m *machine) answer(conn net.Conn, r *http.Request, work float64, zone string) bool {
	id, key := r.Header.Get("X-Request-ID"), r.Header.Get("Idempotency-Key")
	write := func(at time.Time, text string) bool {
		time.Sleep(time.Until(at.Add(m.oneWayDelay(zone))))
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	chunk := func(state, extraFields string) string {
		s := answerLine(id, m.id, state, extraFields)
		return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
	}
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	finished := func() string { return chunk("done", `,"result":"ok"`+m.loadField()) + "0\r\n\r\n" }
	var finishedRun chan bool
	if key != "" {
		m.f.mu.Lock()
		earlierRun := m.f.outcomes[key]
		if earlierRun == nil {
			finishedRun = make(chan bool)
			m.f.outcomes[key] = finishedRun
		}
		m.f.mu.Unlock()
		if earlierRun != nil {
			<-earlierRun
			return write(time.Now(), head+finished())
		}
	}
	forgetKey := func() {
		if finishedRun != nil {
			m.f.mu.Lock()
			delete(m.f.outcomes, key)
			m.f.mu.Unlock()
			close(finishedRun)
		}
	}
	job := m.submit(work)
	if job == nil {
		forgetKey()
		return write(time.Now(), "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n"+m.loadHeaderLine()+"\r\n")
	}
	at, ok := <-job.stages
	if !ok {
		forgetKey()
		return false
	}
	connected := write(at, head+chunk("started", ""))
	for ticker := time.NewTicker(time.Second); ; {
		select {
		case at, ok = <-job.stages:
			ticker.Stop()
			if !ok {
				forgetKey()
				return false
			}
			if finishedRun != nil {
				close(finishedRun)
			}
			return connected && write(at, finished())
		case <-ticker.C:
			connected = connected && write(time.Now(), chunk("running", `,"share":0.5`))
		}
	}
}

// kill ends the worker's process: running and waiting jobs are lost and all connections are reset.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.up = false
	if m.timer != nil {
		m.timer.Stop()
	}
	for _, job := range append(m.running, m.waiting...) {
		close(job.stages)
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

// restart starts a new process of the worker, which begins with its slow start.
func (m *machine) restart(number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process++
	m.up, m.startedAt, m.advancedAt, m.servicePerJob = true, time.Now(), time.Now(), 0
	if err := m.listen(number); err != nil {
		panic(err) // another process holds a port of this run, so its measurements are invalid
	}
	go m.report(m.process)
}
