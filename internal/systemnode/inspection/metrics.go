package inspection

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metricsLifetime is how long collected metrics are returned again. It bounds what frequent scraping costs.
const metricsLifetime = time.Second

// Kind is the type of a metric in the exposition format.
type Kind string

// The kinds.
const (
	Counter Kind = "counter" // only grows, from the start of the process
	Gauge   Kind = "gauge"
)

// Label distinguishes the samples of a metric.
type Label struct {
	Name  string
	Value string
}

// Metric describes a metric. Its name carries the unit, as gladepick_uptime_seconds does, and ends in _total for a
// counter.
type Metric struct {
	Name string
	Kind Kind
	Help string
}

// Collector writes the samples of its metrics. It is called under the lock of the registry, so it must not call that.
type Collector func(samples *Samples)

// Registry holds the collectors of a process. They are called only when metrics are asked for, and at most once
// within metricsLifetime. The zero value is ready for use.
type Registry struct {
	mutex      sync.Mutex
	collectors []Collector
	text       []byte
	collected  time.Time
}

// Add adds a collector. Metrics appear in the order of their collectors.
func (r *Registry) Add(collector Collector) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.collectors = append(r.collectors, collector)
}

// Text returns all metrics in the exposition format. The bytes must not be changed.
func (r *Registry) Text() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.text != nil && time.Since(r.collected) < metricsLifetime {
		return r.text
	}
	samples := &Samples{}
	for _, collect := range r.collectors {
		collect(samples)
	}
	r.text, r.collected = samples.text.Bytes(), time.Now()
	return r.text
}

// Samples collects the samples of one collection. The samples of one metric must follow one another, since their
// HELP and TYPE lines are written before the first.
type Samples struct {
	text    bytes.Buffer
	current string // name of the metric whose HELP and TYPE lines were written last
}

// Add writes one sample.
func (s *Samples) Add(metric Metric, value float64, labels ...Label) {
	if s.current != metric.Name {
		s.current = metric.Name
		s.text.WriteString("# HELP " + metric.Name + " " + metric.Help + "\n")
		s.text.WriteString("# TYPE " + metric.Name + " " + string(metric.Kind) + "\n")
	}
	s.text.WriteString(metric.Name)
	s.writeLabels(labels)
	s.text.WriteByte(' ')
	s.text.WriteString(strconv.FormatFloat(value, 'g', -1, 64))
	s.text.WriteByte('\n')
}

// AddBool writes one sample that is 1 for true and 0 for false.
func (s *Samples) AddBool(metric Metric, value bool, labels ...Label) {
	figure := 0.0
	if value {
		figure = 1
	}
	s.Add(metric, figure, labels...)
}

func (s *Samples) writeLabels(labels []Label) {
	if len(labels) == 0 {
		return
	}
	for i, label := range labels {
		separator := byte(',')
		if i == 0 {
			separator = '{'
		}
		s.text.WriteByte(separator)
		s.text.WriteString(label.Name + `="` + labelEscaper.Replace(label.Value) + `"`)
	}
	s.text.WriteByte('}')
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
