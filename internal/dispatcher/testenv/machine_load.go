// The load reports that a worker sends with its answers.

package testenv

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// loadReport is a load report and when it was made.
type loadReport struct {
	at   time.Time
	text string
}

// report makes a load report at each interval until the process ends. The first one comes at a random time.
func (m *machine) report(process int) {
	time.Sleep(time.Duration(rand.Float64() * float64(m.reportInterval)))
	for {
		m.mu.Lock()
		text := fmt.Sprintf("x0=%d, eps=0, qps=%.2f, queue=%d", m.kind.Slots-len(m.running), float64(m.completed)/m.reportInterval.Seconds(), len(m.waiting))
		m.completed = 0
		m.reports = append(m.reports, loadReport{time.Now(), text})
		if len(m.reports) > 64 {
			m.reports = m.reports[1:]
		}
		over := m.ports == nil || m.process != process
		m.mu.Unlock()
		if over {
			return
		}
		time.Sleep(m.reportInterval)
	}
}

// visibleReport returns the latest load report that is old enough to be visible, or "".
func (m *machine) visibleReport() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.reports) - 1; i >= 0; i-- {
		if time.Since(m.reports[i].at) >= m.reportDelay+time.Duration(m.f.extraReportDelay.Load()) {
			return m.reports[i].text
		}
	}
	return ""
}

// loadHeaderLine returns the load report as a header line, or "".
func (m *machine) loadHeaderLine() string {
	if s := m.visibleReport(); s != "" {
		return "X-Server-Load: TEXT " + s + "\r\n"
	}
	return ""
}

// loadField returns the load report as a JSON field of an answer's line, or "".
func (m *machine) loadField() string {
	s := m.visibleReport()
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
