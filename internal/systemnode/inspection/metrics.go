package inspection

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metricsLifetime is how long a collected text of metrics is given out again. It bounds what frequent askers cost.
const metricsLifetime = time.Second

// Kind is the kind of a metric.
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

// Metric describes a metric.
type Metric struct {
	Name string
	Kind Kind
	Help string
}

// Collector writes the samples of its metrics when they are asked for.
type Collector func(samples *Samples)

// Registry holds the collectors of a process. They are called only when somebody asks for the metrics, and at most
// once within metricsLifetime.
type Registry struct {
	mutex      sync.Mutex
	collectors []Collector
	text       []byte
	collected  time.Time
}

// Add adds a collector.
func (r *Registry) Add(collector Collector) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.collectors = append(r.collectors, collector)
}

// Text returns all metrics, one sample a line. The bytes must not be changed.
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

// Samples takes the samples of one collection. The samples of one metric have to follow one another.
type Samples struct {
	text    bytes.Buffer
	current string // name of the metric whose head was written last
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
