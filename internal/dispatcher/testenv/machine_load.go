// The load reports that a worker sends with its answers.

package testenv

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// view is a load report and when it was made.
type view struct {
	at   time.Time
	text string
}

// report makes a load report at each interval until the process ends. The first one comes at a random time.
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

// seen returns the latest load report that is old enough to be visible, or "".
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

// loadHead returns the load report as a header line, or "".
func (m *machine) loadHead() string {
	if s := m.seen(); s != "" {
		return "X-Server-Load: TEXT " + s + "\r\n"
	}
	return ""
}

// load returns the load report as a JSON field of an answer's line, or "".
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
