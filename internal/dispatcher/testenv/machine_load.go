// A worker's load reports, as it sends them with its answers.

package testenv

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

type view struct {
	at   time.Time
	text string
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
