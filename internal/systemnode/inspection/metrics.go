package inspection

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metricsLifetime is how long collected metrics are cached. It limits the cost of frequent scraping.
const metricsLifetime = time.Second

// Kind is the type of a metric in the exposition format.
type Kind string

// The metric types in use.
const (
	Counter Kind = "counter" // never decreases while the process runs
	Gauge   Kind = "gauge"
)

// Label distinguishes the samples of a metric.
type Label struct {
	Name  string
	Value string
}

// Metric describes a metric. Its name contains the unit, as in gladepick_uptime_seconds, and ends in _total if it is a
// counter.
type Metric struct {
	Name string
	Kind Kind
	Help string
}

// Collector writes the samples of its metrics. The registry calls it under its lock, so a collector must not call the
// registry.
type Collector func(samples *Samples)

// Registry holds the collectors of a process. It calls them only when metrics are requested, and at most once per
// metricsLifetime. The zero value is ready for use. A Registry is safe for concurrent use.
type Registry struct {
	mutex      sync.Mutex
	collectors []Collector
	text       []byte
	collected  time.Time
}

// Add adds a collector. Metrics are written in the order in which their collectors were added.
func (r *Registry) Add(collector Collector) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.collectors = append(r.collectors, collector)
}

// Text returns all metrics in the exposition format. They are at most metricsLifetime old. The caller must not modify
// the bytes.
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

// Samples builds the text of one collection. All samples of a metric must be added one after another, because the HELP
// and TYPE lines are written before the first one.
type Samples struct {
	text    bytes.Buffer
	current string // name of the metric to which the last HELP and TYPE lines belong
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
	number := 0.0
	if value {
		number = 1
	}
	s.Add(metric, number, labels...)
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
