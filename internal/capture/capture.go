// Package capture records what a dispatcher takes, sends and answers, and reads
// such records back. A capture is a pair of Parquet files: one row a client's
// try, one row an attempt; a manifest beside them seals both. The definition is
// docs/capture-format.md. The recorder must never block the core or cost a job:
// what finds no room in memory or on the disk is counted and left out. Without
// its manifest no file counts as closed.
package capture

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/parquet-go/parquet-go"

	"ivyfold"
	"ivyfold/internal/config"
	"ivyfold/internal/dispatch"
)

// Version is that of the columns. A reader takes files of this version and older.
const Version = 1

// Try is one try of a client, from its arrival to its answer. Times are nanoseconds.
type Try struct {
	Node       string  `parquet:"node,dict"`
	Boot       int64   `parquet:"boot"`       // when the dispatcher started, Unix time
	Job        int64   `parquet:"job"`        // counts tries since then; 0 for one that was turned away
	Came       int64   `parquet:"came,delta"` // Unix time at the start plus monotonic time since
	Clock      int64   `parquet:"clock"`      // what the calendar showed beyond that: its steps
	Class      string  `parquet:"class,dict"`
	University string  `parquet:"university,dict"`
	Repeat     bool    `parquet:"repeat"`
	Slots      float64 `parquet:"slots"`
	Memory     float64 `parquet:"memory"`
	Subject    uint64  `parquet:"subject"` // salted hash; 0 for none
	Patience   int64   `parquet:"patience"`
	Verdict    string  `parquet:"verdict,dict"` // served, refused, failed, left or turned
	Took       int64   `parquet:"took"`         // to the answer
	RetryAfter int64   `parquet:"retry_after"`
	Attempts   int32   `parquet:"attempts"`
}

// Attempt is one send of a job to a worker, as the dispatcher saw it.
type Attempt struct {
	Node    string  `parquet:"node,dict"`
	Boot    int64   `parquet:"boot"`
	Job     int64   `parquet:"job"`
	Attempt int32   `parquet:"attempt"`
	Class   string  `parquet:"class,dict"`
	Worker  string  `parquet:"worker,dict"`
	Kind    string  `parquet:"kind,dict"`
	Zone    string  `parquet:"zone,dict"`
	Sent    int64   `parquet:"sent,delta"`   // as Try.Came
	Started int64   `parquet:"started"`      // after Sent; -1 if that was never told
	Ended   int64   `parquet:"ended"`        // after Sent; -1 for one that was out when the dispatcher ended
	Outcome string  `parquet:"outcome,dict"` // ok, error, full, timed_out, connect_failed, reset, cancelled, open
	Free    float64 `parquet:"free_slots"`   // from the load report that came with the outcome; NaN if none did
	Queue   float64 `parquet:"queue"`
	Rate    float64 `parquet:"rate"` // the report's other figures, in its order
	Errors  float64 `parquet:"errors"`
}

var verdicts = map[dispatch.Verdict]string{dispatch.Served: "served", dispatch.Refused: "refused", dispatch.Failed: "failed"}

// partial ends the name of a file that is not closed.
const partial = ".part"

// open is a job that is under way.
type open struct {
	job      int64
	came     int64
	attempts int32
}

// under is an attempt that is under way.
type under struct {
	job, sent, started int64
}

// Recorder is an observer of the core that writes what it sees.
type Recorder struct {
	node     *config.Node
	conf     *config.Capture
	counters *dispatch.Counters
	zero     time.Time // calendar at the core's time zero
	boot     int64
	calendar func() time.Time
	create   func(name string) (disk, error) // tests put failing disks in its place

	// The core's goroutine alone: it builds whole rows, the writer only writes.
	taken    int64
	jobs     map[*dispatch.Job]open
	attempts map[*dispatch.Attempt]under

	tries chan Try
	sends chan Attempt
	lost  atomic.Int64 // rows since the last file began
	stop  chan struct{}
	once  sync.Once
	done  chan struct{}
}

// disk is an open file.
type disk interface {
	io.Writer
	Sync() error
	Close() error
}

// NewRecorder makes a recorder for a node. clock is the core's.
func NewRecorder(n *config.Node, counters *dispatch.Counters, clock func() (time.Duration, time.Time)) *Recorder {
	at, now := clock()
	r := &Recorder{node: n, conf: n.Capture, counters: counters, zero: now.Add(-at), boot: now.UnixNano(), calendar: time.Now,
		jobs: map[*dispatch.Job]open{}, attempts: map[*dispatch.Attempt]under{},
		tries: make(chan Try, n.Limits.CaptureRows), sends: make(chan Attempt, n.Limits.CaptureRows),
		stop: make(chan struct{}), done: make(chan struct{})}
	r.create = func(name string) (disk, error) {
		return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_EXCL, 0o640)
	}
	return r
}

// unix turns the core's time into Unix time, blind to steps of the calendar.
func (r *Recorder) unix(at time.Duration) int64 { return r.zero.UnixNano() + int64(at) }

// See makes rows of what the core does.
func (r *Recorder) See(m *dispatch.Moment) {
	switch m.Sight {
	case dispatch.SawTaken:
		r.taken++
		r.jobs[m.Job] = open{job: r.taken, came: r.unix(m.At)}
	case dispatch.SawTurned: // on a front's goroutine: it touches nothing that is not safe there
		r.try(m.Job, open{came: r.unix(m.At)}, m.At, "turned", r.node.Limits.RetryAfter)
	case dispatch.SawSent:
		if o, ok := r.jobs[m.Job]; ok {
			o.attempts++
			r.jobs[m.Job] = o
			r.attempts[m.Attempt] = under{job: o.job, sent: r.unix(m.At), started: -1}
		}
	case dispatch.SawStarted:
		if u, ok := r.attempts[m.Attempt]; ok && u.started < 0 {
			u.started = r.unix(m.At) - u.sent
			r.attempts[m.Attempt] = u
		}
	case dispatch.SawEnded:
		if u, ok := r.attempts[m.Attempt]; ok {
			delete(r.attempts, m.Attempt)
			r.attempt(m.Attempt, u, r.unix(m.At)-u.sent, dispatch.OutcomeName(m.Outcome), &m.Load)
		}
	case dispatch.SawAnswered, dispatch.SawLeft:
		o, ok := r.jobs[m.Job]
		if !ok {
			return
		}
		delete(r.jobs, m.Job)
		verdict := "left"
		if m.Sight == dispatch.SawAnswered {
			verdict = verdicts[m.Answer.Verdict]
		}
		r.try(m.Job, o, m.At, verdict, m.Answer.RetryAfter)
	}
}

func (r *Recorder) try(j *dispatch.Job, o open, at time.Duration, verdict string, after time.Duration) {
	row := Try{Node: r.node.Name, Boot: r.boot, Job: o.job, Came: o.came, Class: word(r.node.Classes, j.Class),
		University: word(r.node.Tenants, j.Tenant), Repeat: j.Repeat, Slots: j.Slots, Memory: j.Memory,
		Patience: int64(j.Patience), Verdict: verdict, Took: r.unix(at) - o.came, RetryAfter: int64(after), Attempts: o.attempts}
	row.Clock = r.calendar().UnixNano() - r.unix(at)
	if j.Subject != 0 {
		row.Subject = max(xxhash.Sum64String(r.conf.Salt+"/"+strconv.FormatUint(j.Subject, 16)), 1)
	}
	select {
	case r.tries <- row:
	default:
		r.lose(1)
	}
}

func (r *Recorder) attempt(a *dispatch.Attempt, u under, took int64, outcome string, l *ivyfold.Load) {
	s := &r.node.Module.Report
	row := Attempt{Node: r.node.Name, Boot: r.boot, Job: u.job, Attempt: int32(a.Number()), Class: word(r.node.Classes, a.Job.Class),
		Worker: a.Worker.ID, Kind: a.Worker.Kind, Zone: a.Worker.Zone, Sent: u.sent, Started: u.started, Ended: took, Outcome: outcome,
		Free: figure(l, s.FreeSlots), Queue: figure(l, s.Queue), Errors: figure(l, s.Errors), Rate: figure(l, r.node.Figure("rate"))}
	select {
	case r.sends <- row:
	default:
		r.lose(1)
	}
}

func word(list []string, i int) string {
	if i < 0 || i >= len(list) {
		return ""
	}
	return list[i]
}

func (r *Recorder) lose(rows int) {
	r.lost.Add(int64(rows))
	r.counters.CaptureLost.Add(int64(rows))
}

// Run writes rows until Close. It begins with what a process of this name left open when it ended.
func (r *Recorder) Run() {
	defer close(r.done)
	r.orphans()
	var p *pair
	tick := time.NewTicker(time.Duration(min(r.conf.GroupS, 1) * float64(time.Second) / 4))
	defer tick.Stop()
	var tries []Try
	var sends []Attempt
	var since time.Time // when the oldest of these came
	retry := time.Time{}
	old := func() bool { return p != nil && time.Since(p.began) >= span(r.conf.RotateS) }
	put := func(end bool) error {
		if p == nil {
			if len(tries)+len(sends) == 0 {
				return nil
			} else if time.Now().Before(retry) && !end {
				return errWaiting
			}
			var err error
			if p, err = r.begin(); err != nil {
				return err
			}
		}
		if err := p.write(tries, sends); err != nil || !end && !old() && p.bytes() < int64(r.conf.RotateMB*(1<<20)) {
			return err
		}
		lost := r.lost.Swap(0)
		if err := p.close(r.node.Name, lost); err != nil {
			r.lost.Add(lost)
			return err
		}
		r.counters.Captured.Add(int64(p.rows))
		p = nil
		r.sweep()
		return nil
	}
	flush := func(end bool) {
		if err := put(end); err != nil {
			rows := len(tries) + len(sends)
			if p != nil {
				rows = p.rows // with those that it was given just now
				p.drop()
				p = nil
			}
			r.lose(rows)
			if err != errWaiting {
				log.Printf("capture: %d rows lost: %v", rows, err)
				retry = time.Now().Add(r.node.Limits.CaptureRetry)
			}
		}
		tries, sends = tries[:0], sends[:0]
	}
	for {
		select {
		case t := <-r.tries:
			tries = append(tries, t)
		case a := <-r.sends:
			sends = append(sends, a)
		case <-tick.C:
			if old() || len(tries)+len(sends) > 0 && time.Since(since) >= span(r.conf.GroupS) {
				flush(false)
			}
			continue
		case <-r.stop:
			for {
				select {
				case t := <-r.tries:
					tries = append(tries, t)
					continue
				case a := <-r.sends:
					sends = append(sends, a)
					continue
				default:
				}
				break
			}
			flush(true)
			return
		}
		if len(tries)+len(sends) == 1 {
			since = time.Now()
		}
		if len(tries)+len(sends) >= r.node.Limits.CaptureGroup {
			flush(false)
		}
	}
}

var errWaiting = errors.New("waiting for the disk")

func span(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Close writes what is there and closes the files. The core must have ended.
func (r *Recorder) Close(ctx context.Context) error {
	r.once.Do(func() {
		for a, u := range r.attempts {
			r.attempt(a, u, -1, "open", &ivyfold.Load{})
		}
		close(r.stop)
	})
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("capture: the last rows were not written in time: %w", ctx.Err())
	}
}

// pair is the two files that are open.
type pair struct {
	dir   string
	names [2]string
	files [2]disk
	size  [2]counted
	tries *parquet.GenericWriter[Try]
	sends *parquet.GenericWriter[Attempt]
	stem  string // of all their names
	began time.Time
	rows  int
	each  [2]int64 // rows in each
}

// counted counts and sums up what is written.
type counted struct {
	to    io.Writer
	bytes int64
	sum   *xxhash.Digest
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.to.Write(p)
	c.bytes += int64(n)
	c.sum.Write(p[:n])
	return n, err
}

// Manifest seals the files of a capture. The library that reads them takes damaged bytes at their word, down to the
// process's end; so no byte is given to it that is not the one that was written.
type Manifest struct {
	Version int    `json:"version"`
	Node    string `json:"node"`
	Lost    int64  `json:"lost"` // rows that found no room since the manifest before
	Files   []Seal `json:"files"`
}

// Seal is one sealed file.
type Seal struct {
	Name  string `json:"name"` // beside the manifest
	Bytes int64  `json:"bytes"`
	Rows  int64  `json:"rows"`
	XXH64 string `json:"xxh64"` // 16 hexadecimal digits, seed 0
}

// manifest ends a manifest's name.
const manifest = ".capture.json"

func (r *Recorder) begin() (*pair, error) {
	p := &pair{dir: r.conf.Dir, began: time.Now()}
	p.stem = fmt.Sprintf("%s-%s", prefix(r.node.Name), p.began.UTC().Format("20060102T150405.000000000"))
	for i, what := range []string{"tries", "attempts"} {
		p.names[i] = filepath.Join(r.conf.Dir, p.stem+"-"+what+".parquet")
		f, err := r.create(p.names[i] + partial)
		if err != nil {
			p.drop()
			return nil, err
		}
		p.files[i], p.size[i].to, p.size[i].sum = f, f, xxhash.New()
	}
	about := []parquet.WriterOption{parquet.Compression(&parquet.Snappy), parquet.PageBufferSize(64 << 10),
		parquet.KeyValueMetadata("gladepick.version", strconv.Itoa(Version))}
	p.tries = parquet.NewGenericWriter[Try](&p.size[0], about...)
	p.sends = parquet.NewGenericWriter[Attempt](&p.size[1], about...)
	return p, nil
}

// prefix makes a file name's beginning of a dispatcher's name.
func prefix(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

func (p *pair) bytes() int64 { return p.size[0].bytes + p.size[1].bytes }

// write adds a group of rows to each file, whole.
func (p *pair) write(tries []Try, sends []Attempt) error {
	p.rows += len(tries) + len(sends)
	p.each[0] += int64(len(tries))
	p.each[1] += int64(len(sends))
	if len(tries) > 0 {
		if _, err := p.tries.Write(tries); err != nil {
			return err
		}
		if err := p.tries.Flush(); err != nil {
			return err
		}
	}
	if len(sends) > 0 {
		if _, err := p.sends.Write(sends); err != nil {
			return err
		}
		return p.sends.Flush()
	}
	return nil
}

// close ends both files, gives them their names and seals them with a manifest.
func (p *pair) close(node string, lost int64) error {
	if err := errors.Join(p.tries.Close(), p.sends.Close(), p.files[0].Sync(), p.files[1].Sync(), p.files[0].Close(), p.files[1].Close()); err != nil {
		return err
	}
	p.files = [2]disk{}
	m := Manifest{Version: Version, Node: node, Lost: lost}
	for i, name := range p.names {
		m.Files = append(m.Files, Seal{filepath.Base(name), p.size[i].bytes, p.each[i], fmt.Sprintf("%016x", p.size[i].sum.Sum64())})
		if err := os.Rename(name+partial, name); err != nil {
			return err
		}
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	return whole(filepath.Join(p.dir, p.stem+manifest), append(text, '\n'))
}

// whole writes a file that is there with all of its text or not at all.
func whole(name string, text []byte) error {
	f, err := os.Create(name + partial)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(name+partial, name)
	}
	if err != nil {
		os.Remove(name + partial)
		return err
	}
	d, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// drop gives the open files up.
func (p *pair) drop() {
	for i, f := range p.files {
		if f != nil {
			f.Close()
		}
		if p.names[i] != "" {
			os.Remove(p.names[i] + partial)
			os.Remove(p.names[i])
		}
	}
}

// orphans tells what earlier processes of this name left open, and removes it: a file without its end cannot be read.
func (r *Recorder) orphans() {
	left, _ := filepath.Glob(filepath.Join(r.conf.Dir, prefix(r.node.Name)+"-*"+partial))
	for _, name := range left {
		log.Printf("capture: %s", orphan(name))
		if err := os.Remove(name); err != nil {
			log.Printf("capture: %v", err)
		}
	}
}

// orphan says what is lost with a file that was never closed.
func orphan(name string) string {
	info, err := os.Stat(name)
	if err != nil {
		return err.Error()
	}
	from := "its beginning"
	if parts := strings.Split(filepath.Base(name), "-"); len(parts) >= 3 {
		from = parts[len(parts)-2]
	}
	return fmt.Sprintf("%s was never closed: the rows from %s to %s are lost, %d bytes of them had been written", name, from,
		info.ModTime().UTC().Format("20060102T150405"), info.Size())
}

// sweep removes the oldest sealed files beyond what is to be kept, the manifest before what it seals.
func (r *Recorder) sweep() {
	if r.conf.KeepMB <= 0 {
		return
	}
	names, _ := filepath.Glob(filepath.Join(r.conf.Dir, prefix(r.node.Name)+"-*"+manifest))
	slices.Sort(names)
	total, sizes := int64(0), make([]int64, len(names))
	sealed := make([]*Manifest, len(names))
	for i, name := range names {
		var err error
		if sealed[i], err = readManifest(name); err != nil {
			log.Printf("capture: %v", err)
			continue
		}
		for _, s := range sealed[i].Files {
			sizes[i] += s.Bytes
		}
		total += sizes[i]
	}
	for i := 0; i < len(names) && total > int64(r.conf.KeepMB*(1<<20)); i++ {
		if sealed[i] == nil {
			continue
		}
		err := os.Remove(names[i])
		for _, s := range sealed[i].Files {
			err = errors.Join(err, os.Remove(filepath.Join(r.conf.Dir, s.Name)))
		}
		if err != nil {
			log.Printf("capture: %v", err)
		}
		total -= sizes[i]
	}
}

func figure(l *ivyfold.Load, at int) float64 {
	if at < 0 || at >= min(l.N, len(l.Values)) {
		return nan
	}
	return l.Values[at]
}
