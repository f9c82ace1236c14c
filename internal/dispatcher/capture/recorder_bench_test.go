package capture

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/testenv"
)

// yes is a floor on which every job is served at once.
type yes struct{}

func (yes) CloseIdle(config.Worker) {}
func (yes) Watch(bool)              {}
func (yes) Send(a *dispatch.Attempt) {
	go func() {
		a.ReportProgress(decision.JobStarted, 0)
		a.End(decision.OK, decision.Load{Count: 4, Values: [4]float64{2, 0, 10, 0}}, nil)
	}()
}

// BenchmarkCapture compares a core that is recorded with one that is not, in turns, and reports the ratios of time
// and of processor time a job. The second holds what the writer costs elsewhere.
func BenchmarkCapture(b *testing.B) {
	const jobs, window = 5000, 32
	var known []config.Worker
	for i := range 12 {
		known = append(known, testenv.Worker(fmt.Sprintf("s-%08x", i), "127.0.0.1:1", "ready"))
	}
	n := testenv.Node(b, known, "")
	n.Capture = &config.Capture{Dir: b.TempDir(), RotateMB: 64, RotateS: 300, GroupS: 10}
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	var took, used [2]time.Duration
	var lost, rows int64
	play := func(on int) {
		counters := new(dispatch.Counters)
		c, err := dispatch.New(n, counters, yes{}, nil, yes{}, nil)
		if err != nil {
			b.Fatal(err)
		}
		var r *Recorder
		if on == 1 {
			r = NewRecorder(n, counters, c.Clock)
			c.Observer = r
			go r.Run()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		begin, before := time.Now(), cpu()
		var all sync.WaitGroup
		room := make(chan bool, window)
		for i := range jobs {
			all.Add(1)
			room <- true
			j := &dispatch.Job{ID: fmt.Sprint(i), Class: i % 2, Tenant: i % 2, Slots: 1, Timeout: 5 * time.Second}
			j.Reply = func(dispatch.Answer) { <-room; all.Done() }
			if err := c.Submit(j); err != nil {
				b.Fatal(err)
			}
		}
		all.Wait()
		took[on] += time.Since(begin)
		cancel()
		c.Wait()
		if r != nil {
			if err := r.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
			lost, rows = lost+counters.CaptureDropped.Load(), rows+counters.Captured.Load()
		}
		used[on] += cpu() - before
	}
	play(0)
	play(1)
	took, used, lost, rows = [2]time.Duration{}, [2]time.Duration{}, 0, 0
	b.ResetTimer()
	for i := range b.N {
		play(i % 2)
		play(1 - i%2)
	}
	b.ReportMetric(took[1].Seconds()/took[0].Seconds(), "time-on/off")
	b.ReportMetric(used[1].Seconds()/used[0].Seconds(), "cpu-on/off")
	b.ReportMetric((used[1]-used[0]).Seconds()*1e6/float64(b.N*jobs), "cpu-µs/job-more")
	b.ReportMetric(float64(lost)/float64(lost+rows), "lost/row")
	b.ReportMetric(float64(jobs*b.N)/took[0].Seconds(), "jobs/s-off")
}
