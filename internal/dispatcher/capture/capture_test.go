// These tests make the disk fail, the process die and files rot, and hold the
// recorder to its promises: it never waits, what it writes reads back as it
// was, and every row is either there or counted as lost.
package capture

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

// recorder is one that writes to dir, and feeds it jobs by hand.
type feeder struct {
	*Recorder
	count dispatch.Counters
	at    time.Duration
}

func record(t testing.TB, dir string, change func(*Recorder)) *feeder {
	n := *testenv.Node(t, nil, "")
	n.Capture = &config.Capture{Dir: dir, RotateMB: 64, RotateS: 300, GroupS: 10, Salt: "s"}
	f := &feeder{at: time.Hour}
	f.Recorder = NewRecorder(&n, &f.count, func() (time.Duration, time.Time) { return time.Hour, time.Now() })
	if change != nil {
		change(f.Recorder)
	}
	go f.Run()
	return f
}

// job goes through the recorder with one attempt, as the core would show it.
func (f *feeder) job(i int) {
	j := &dispatch.Job{Class: i % 2, Tenant: i % 3, Slots: 1, AffinityKey: uint64(i % 5), Timeout: 5 * time.Second, Retry: i%4 == 0}
	a := &dispatch.Attempt{Job: j, Worker: testenv.Worker("s-0000000"+strconv.Itoa(i%10), "127.0.0.1:1", "ready")}
	see := func(s dispatch.EventKind, after time.Duration, m dispatch.Event) {
		f.at += after
		m.Kind, m.At, m.Job = s, f.at, j
		f.Observe(&m)
	}
	if i%50 == 49 {
		see(dispatch.JobOverflowed, time.Millisecond, dispatch.Event{})
		return
	}
	see(dispatch.JobAccepted, time.Millisecond, dispatch.Event{})
	see(dispatch.AttemptSent, 0, dispatch.Event{Attempt: a})
	see(dispatch.AttemptStarted, 2*time.Millisecond, dispatch.Event{Attempt: a})
	if i%50 == 48 {
		see(dispatch.JobAbandoned, time.Millisecond, dispatch.Event{})
		return // its attempt is still out
	}
	see(dispatch.JobAnswered, 30*time.Millisecond, dispatch.Event{Answer: dispatch.Answer{Kind: dispatch.Served}})
	see(dispatch.AttemptEnded, 0, dispatch.Event{Attempt: a, Outcome: decision.OK, Load: decision.Load{Count: 4, Values: [4]float64{2, 0.5, 10, 3}}})
}

func (f *feeder) end(t testing.TB) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.Close(ctx); err != nil {
		t.Fatal(err)
	}
}

func TestWhatIsRecordedReadsBack(t *testing.T) {
	dir := t.TempDir()
	f := record(t, dir, nil)
	for i := range 1000 {
		f.job(i)
	}
	f.end(t)
	s, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Requests) != 1000 || len(s.Attempts) != 980 || s.DroppedRows != 0 || s.Files != 2 || len(s.Warnings) > 0 {
		t.Fatalf("%d tries, %d attempts, %d lost, %d files, %v", len(s.Requests), len(s.Attempts), s.DroppedRows, s.Files, s.Warnings)
	}
	if n := f.count.Captured.Load(); n != 1980 {
		t.Errorf("%d rows are counted as captured", n)
	}
	words := map[string]int{}
	for _, row := range s.Requests {
		words[row.Outcome+" "+row.Tenant+" "+row.Class]++
	}
	got, want := s.Requests[3], Request{Node: "n0", Job: 4, Class: "enrol", Tenant: "univ-laurentie", Slots: 1, Timeout: 5e9,
		Outcome: "served", Duration: 32e6, Attempts: 1}
	want.Boot, want.Arrived, want.ClockOffset, want.AffinityHash = got.Boot, got.Arrived, got.ClockOffset, got.AffinityHash
	if got != want || got.AffinityHash == 0 || got.AffinityHash == 3 {
		t.Errorf("a try: %+v", got)
	}
	if words["turned univ-gaspesie enrol"] == 0 || words["left univ-laurentie seat-check"] == 0 {
		t.Errorf("verdicts: %v", words)
	}
	a := s.Attempts[4]
	if a.Job != 5 || a.Started != 2e6 || a.Ended != 32e6 || a.Outcome != "ok" || a.FreeSlots != 2 || a.Queue != 3 || a.Rate != 10 || a.Errors != 0.5 ||
		a.Kind != "std-2c" || a.Zone != "montreal" {
		t.Errorf("an attempt: %+v", a)
	}
	if open := slices.IndexFunc(s.Attempts, func(a Attempt) bool { return a.Outcome == "open" && a.Ended == -1 && math.IsNaN(a.FreeSlots) }); open < 0 {
		t.Error("attempts that were out at the end are not told")
	}
}

// A calendar that steps while the dispatcher runs moves no arrival, and the step is told.
func TestStepsOfTheCalendarAreTold(t *testing.T) {
	dir := t.TempDir()
	step := time.Duration(0)
	f := record(t, dir, func(r *Recorder) { r.calendar = func() time.Time { return r.zero.Add(step + time.Hour) } })
	f.job(0)
	step = -time.Hour
	f.job(1)
	f.end(t)
	s, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if d := s.Requests[1].Arrived - s.Requests[0].Arrived; d < 0 || d > 1e9 {
		t.Errorf("the second came %d ns after the first", d)
	}
	if d := s.Requests[1].ClockOffset - s.Requests[0].ClockOffset; d > -59*60*1e9 {
		t.Errorf("a step of an hour shows as %d ns", d)
	}
}

// full is a disk with so much room.
type full struct {
	*os.File
	room *int
}

func (d full) Write(p []byte) (int, error) {
	if *d.room -= len(p); *d.room < 0 {
		return 0, errors.New("no space left on device")
	}
	return d.File.Write(p)
}

// slow is a disk that stands still until it is let go.
type slow struct {
	*os.File
	gate chan bool
}

func (d slow) Write(p []byte) (int, error) {
	<-d.gate
	return d.File.Write(p)
}

// Rows are there or counted, whatever the disk does, and the core is never held up.
func TestDisksThatFail(t *testing.T) {
	const jobs = 12000
	for name, spoil := range map[string]func(*Recorder) (letGo func()){
		"full": func(r *Recorder) func() {
			whole, room := r.create, 200_000
			r.create = func(name string) (disk, error) {
				f, err := whole(name)
				if err != nil {
					return nil, err
				}
				return full{f.(*os.File), &room}, nil
			}
			return func() {}
		},
		"slow": func(r *Recorder) func() {
			whole, gate := r.create, make(chan bool)
			r.create = func(name string) (disk, error) {
				f, err := whole(name)
				if err != nil {
					return nil, err
				}
				return slow{f.(*os.File), gate}, nil
			}
			return func() { close(gate) }
		},
		"gone": func(r *Recorder) func() { os.RemoveAll(r.conf.Dir); return func() {} },
	} {
		t.Run(name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "c")
			os.Mkdir(dir, 0o700)
			var letGo func()
			f := record(t, dir, func(r *Recorder) {
				r.conf.RotateMB = 0.1
				letGo = spoil(r)
			})
			for i := range jobs { // with a disk that stands still this would never end, were anything waited for
				f.job(i)
			}
			letGo()
			f.end(t)
			captured, lost := f.count.Captured.Load(), f.count.CaptureDropped.Load()
			if total := int64(jobs + jobs*49/50); captured+lost != total || lost == 0 {
				t.Errorf("%d rows captured and %d lost, of %d", captured, lost, total)
			}
			s, err := Read(dir)
			if read := int64(0); err == nil {
				if read = int64(len(s.Requests) + len(s.Attempts)); read != captured || len(s.Warnings) > 0 {
					t.Errorf("%d rows read of %d; %v", read, captured, s.Warnings)
				}
			} else if captured > 0 {
				t.Error(err)
			}
		})
	}
}

func TestOldFilesGo(t *testing.T) {
	dir := t.TempDir()
	f := record(t, dir, func(r *Recorder) { r.conf.RotateMB, r.conf.KeepMB = 0.1, 0.2 })
	for i := range 20000 {
		if f.job(i); i%1000 == 0 {
			f.pause()
		}
	}
	f.end(t)
	var size int64
	names, _ := filepath.Glob(dir + "/*")
	for _, name := range names {
		info, _ := os.Stat(name)
		size += info.Size()
	}
	if size == 0 || size > 200<<10+50<<10 {
		t.Errorf("%d files of %d bytes are kept", len(names), size)
	}
}

// Killed at any moment, a recorder leaves every closed file readable. CAPTURE_KILLS asks for more rounds.
func TestKilledInMidWrite(t *testing.T) {
	if dir := os.Getenv("CAPTURE_INTO"); dir != "" {
		f := record(t, dir, func(r *Recorder) { r.conf.RotateMB = 0.1 })
		for i := 0; ; i++ {
			if f.job(i); i%100 == 0 {
				fmt.Println("x")
				f.pause()
			}
		}
	}
	rounds, told, read := 3, 0, 0
	if n, err := strconv.Atoi(os.Getenv("CAPTURE_KILLS")); err == nil {
		rounds = n
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range rounds {
		dir := t.TempDir()
		c := exec.Command(os.Args[0], "-test.run=^TestKilledInMidWrite$")
		c.Env = append(os.Environ(), "CAPTURE_INTO="+dir)
		out, _ := c.StdoutPipe()
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(out)
		for len(closed(dir)) == 0 && lines.Scan() {
		}
		for range rng.IntN(100) {
			lines.Scan()
		}
		c.Process.Kill()
		c.Wait()
		s, err := Read(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, note := range s.Warnings {
			if told++; !strings.Contains(note, "was never closed") && !strings.Contains(note, "no manifest seals it") {
				t.Error(note)
			}
		}
		if len(s.Requests) == 0 || s.Files != 2*len(closed(dir)) {
			t.Errorf("%d rows from %d files, with %d manifests", len(s.Requests), s.Files, len(closed(dir)))
		}
		read += len(s.Requests)
	}
	t.Logf("%d kills: %d tries in closed files, all read; %d open files told of", rounds, read, told)
}

func closed(dir string) []string {
	names, _ := filepath.Glob(dir + "/*" + manifest)
	return names
}

// pause lets the recorder catch up.
func (f *feeder) pause() {
	for len(f.tries)+len(f.sends) > 0 {
		runtime.Gosched()
	}
}

// What a dead dispatcher left open is told of, by readers and by its successor, which clears it away.
func TestOpenFilesAreToldOf(t *testing.T) {
	dir := t.TempDir()
	name := filepath.Join(dir, "n0-20261201T101112.000000000-tries.parquet.part")
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	f := record(t, dir, nil)
	f.job(0)
	f.end(t)
	if _, err := os.Stat(name); err == nil {
		t.Error("it is still there")
	}
	os.WriteFile(name, []byte("PAR1 and some rows"), 0o600)
	s, err := Read(dir)
	if err != nil || len(s.Warnings) != 1 || !strings.Contains(s.Warnings[0], "the rows from 20261201T101112.000000000 to ") {
		t.Errorf("%v, %+v", err, s)
	}
}

// copied is a small capture in a directory of its own, and the files' names: manifest, attempts, tries.
func copied(t testing.TB) (dir string, names []string) {
	dir = t.TempDir()
	f := record(t, dir, nil)
	for i := range 60 {
		f.job(i)
	}
	f.end(t)
	for _, pattern := range []string{"*.json", "*.parquet"} {
		found, _ := filepath.Glob(filepath.Join(dir, pattern))
		names = append(names, found...)
	}
	return dir, names
}

// change rewrites a file, and seals it anew where the change is to get past the seal.
func change(t testing.TB, names []string, i int, seal bool, edit func([]byte) []byte) {
	text, _ := os.ReadFile(names[i])
	after := edit(slices.Clone(text))
	os.WriteFile(names[i], after, 0o600)
	if seal {
		m, _ := os.ReadFile(names[0])
		was, is := fmt.Sprintf("%016x", xxhash.Sum64(text)), fmt.Sprintf("%016x", xxhash.Sum64(after))
		m = []byte(strings.Replace(strings.Replace(string(m), was, is, 1), fmt.Sprintf(`"bytes": %d`, len(text)), fmt.Sprintf(`"bytes": %d`, len(after)), 1))
		os.WriteFile(names[0], m, 0o600)
	}
}

func TestDamageIsLeftOutAndTold(t *testing.T) {
	swap := func(old, new string) func([]byte) []byte {
		return func(b []byte) []byte { return []byte(strings.ReplaceAll(string(b), old, new)) }
	}
	for name, k := range map[string]struct {
		file  int
		seal  bool
		edit  func([]byte) []byte
		says  string
		tries int
	}{
		"cut":            {2, false, func(b []byte) []byte { return b[:len(b)-100] }, "60 rows: ", 0},
		"a bit":          {2, false, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, "damaged: its sum is ", 0},
		"no Parquet":     {2, true, func([]byte) []byte { return []byte("PAR1 but not really PAR1") }, "no whole Parquet file", 0},
		"foreign":        {2, true, swap("gladepick.version", "gladepick.vxrsion"), "gladepick.version is missing", 0},
		"foreign column": {2, true, swap("university", "univarsity"), "column university is missing", 0},
		"attempts":       {1, false, func([]byte) []byte { return nil }, "0 bytes long, sealed with ", 60},
		"newer":          {0, false, swap(`"version": 1`, `"version": 2`), "key version: the columns are of version 2", 0},
		"manifest cut":   {0, false, func(b []byte) []byte { return b[:len(b)/2] }, "no whole manifest", 0},
		"elsewhere":      {0, false, swap(`"name": "`, `"name": "../`), "key files.0: ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			dir, names := copied(t)
			change(t, names, k.file, k.seal, k.edit)
			s, err := Read(dir)
			if said := fmt.Sprint(err, s); !strings.Contains(said, k.says) {
				t.Errorf("%s; %q is wanted", said, k.says)
			}
			if s != nil && len(s.Requests) != k.tries {
				t.Errorf("%d tries", len(s.Requests))
			}
		})
	}
}

// Whatever stands in the files, reading ends with rows that were sealed or with an error.
func FuzzRead(f *testing.F) {
	_, names := copied(f)
	whole, _ := os.ReadFile(names[2])
	seal, _ := os.ReadFile(names[0])
	f.Add(seal, whole)
	f.Add(seal[:len(seal)/2], whole)
	rng := rand.New(rand.NewPCG(3, 4))
	for range 30 {
		bad, badSeal := slices.Clone(whole), slices.Clone(seal)
		bad[rng.IntN(len(bad))] ^= byte(1 + rng.IntN(255))
		badSeal[rng.IntN(len(badSeal))] ^= byte(1 + rng.IntN(255))
		f.Add(seal, bad[:rng.IntN(len(bad))])
		f.Add(seal, bad)
		f.Add(badSeal, whole)
	}
	base := filepath.Base(names[2])
	f.Fuzz(func(t *testing.T, seal, text []byte) {
		dir := t.TempDir()
		os.WriteFile(filepath.Join(dir, "x"+manifest), seal, 0o600)
		os.WriteFile(filepath.Join(dir, base), text, 0o600)
		if s, err := Read(dir); err == nil && s.Files > 0 && !slices.Equal(text, whole) {
			t.Errorf("%d files of other bytes were read", s.Files)
		}
	})
}
