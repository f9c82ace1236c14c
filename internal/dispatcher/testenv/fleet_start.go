// Start and end of a fleet: workers, discovery servers, and a process for each dispatcher.

package testenv

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// start starts the workers, discovery servers and dispatchers, and waits until each dispatcher answers.
func (f *Fleet) start() error {
	rng := rand.New(rand.NewPCG(f.seed, 77))
	for _, g := range f.desc.Dispatchers {
		for range g.Count {
			f.dispatchers = append(f.dispatchers, &dispatcherProcess{zone: g.Zone, generation: 1, address: fmt.Sprintf("127.%d.0.%d:5000", f.host, len(f.dispatchers)+1)})
		}
	}
	for _, g := range f.desc.Workers {
		for _, k := range f.desc.Kinds {
			for n := 0; k.Name == g.Kind && n < g.Count; n++ {
				m := &machine{f: f, id: fmt.Sprintf("s-%08x", uint32(len(f.workers)+1)*2654435761), kind: k, zone: g.Zone, speed: k.Speed.Draw(rng), up: true,
					conns: map[net.Conn]bool{}, reportInterval: dur(f.desc.ReportIntervalSeconds.Draw(rng)), reportDelay: dur(f.desc.ReportDelaySeconds.Draw(rng))}
				f.workers = append(f.workers, m)
				if err := m.listen(len(f.workers)); err != nil {
					return err
				}
				go m.report(m.process)
			}
		}
	}
	for i, s := range f.dispatchers {
		s.discovery = &DiscoveryServer{Changes: make(chan string, 1000)}
		for _, m := range f.workers {
			s.discovery.Complete.Workers = append(s.discovery.Complete.Workers, m.listEntry(i, "ready"))
		}
		s.discovery.Complete.Generation, s.discovery.Complete.Reset = 1, true
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:8500", f.host, i+1))
		if err != nil {
			return err
		}
		s.server = &http.Server{Handler: s.discovery}
		go s.server.Serve(l)
		if err := f.startDispatcher(i, s, l.Addr().String()); err != nil {
			return err
		}
	}
	for _, s := range f.dispatchers {
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
	time.Sleep(300 * time.Millisecond) // until the watches are open
	return nil
}

// startDispatcher writes the configuration of dispatcher i and starts its process.
func (f *Fleet) startDispatcher(i int, s *dispatcherProcess, discovery string) error {
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
	// The program derives its limit of open jobs from its sockets: this number yields the limit in the description.
	sockets := 1024
	if group.OpenJobs > 0 {
		sockets = max(min(group.OpenJobs*9/5*10/9+8, 1024), 64)
	}
	text, err := json.Marshal(map[string]any{"seed": fmt.Sprintf("%x", f.seed*1000+uint64(i)), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": sockets},
		"known": s.discovery.Complete, "settings": f.settings(i)})
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

// settings returns the settings of dispatcher i in the platform's JSON form.
func (f *Fleet) settings(i int) map[string]any {
	d := f.desc
	ns := func(s float64) int64 { return int64(dur(s)) }
	var classes, tenants []any
	var kinds, stretch, class []any
	effect := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	for _, c := range d.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "aim": ns(c.LatencyTargetSeconds), "deadline": ns(c.DeadlineSeconds), "effect": effect[c.Idempotency], "group": "all",
			"late_value": c.LateValue, "value": c.Value, "window": ns(c.DedupWindowSeconds)})
		stretch, class = append(stretch, c.Stretch), append(class, -1)
	}
	for _, u := range d.Tenants {
		tenants = append(tenants, map[string]any{"name": u.Name, "portion": u.Share, "allowance_per_s": u.RatePerSecond})
	}
	for _, k := range d.Kinds {
		kinds = append(kinds, k.Name)
	}
	zone := 0
	for z, name := range d.Zones {
		if name == f.dispatchers[i].zone {
			zone = z
		}
	}
	return map[string]any{"position": i, "balancers": len(f.dispatchers), "classes": classes, "tenants": tenants, "kinds": kinds, "zones": d.Zones, "zone": zone,
		"discovery": "subscribe", "round": 2000000, "over_share_worth": d.OverQuotaValue, "report": map[string]any{"fields": []string{"x0", "fail_rate", "rate", "q"}, "how": "piggyback"},
		"invariants": map[string]any{"ask_within": ns(10), "cold_from": d.SlowStart.Share, "drain_grace": ns(d.DrainGraceSeconds), "fall": ns(d.SlowStart.OverloadSpanSeconds), "fall_multiple": d.SlowStart.OverloadMultiple,
			"grace_to_answer": 8000000, "warm_after": ns(d.SlowStart.DurationSeconds)},
		"limits":    map[string]any{"cancelling": true, "conn_idle": ns(d.ConnectionIdleSeconds), "connect_timeout": ns(d.ConnectTimeoutMs / 1000), "max_attempts": d.MaxAttempts, "max_retry_after": ns(2)},
		"specifics": map[string]any{"class_kind": class, "class_stretch": stretch, "progress": ns(1), "tells_start": true}}
}

// stop terminates the dispatchers, waits for them, and closes the discovery servers and workers.
func (f *Fleet) stop() {
	for _, s := range f.dispatchers {
		if s.process != nil && s.process.Process != nil {
			s.process.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, s := range f.dispatchers {
		if s.process != nil && s.process.Process != nil {
			s.process.Wait()
		}
		if s.server != nil {
			s.server.Close()
		}
	}
	for _, m := range f.workers {
		m.kill()
	}
}
