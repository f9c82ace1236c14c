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

// instantTransport serves every attempt at once.
type instantTransport struct{}

func (instantTransport) CloseIdle(config.Worker) {}
func (instantTransport) Watch(bool)              {}
func (instantTransport) Send(a *dispatch.Attempt) {
	go func() {
		a.ReportProgress(decision.JobStarted, 0)
		a.End(decision.OK, decision.Load{Count: 4, Values: [4]float64{2, 0, 10, 0}}, nil)
	}()
}

// BenchmarkCapture runs a core with and without a recorder in alternation, and reports the ratios of wall-clock time
// and of processor time. The processor time includes the cost of the writer's goroutine.
func BenchmarkCapture(b *testing.B) {
	const jobs, window = 5000, 32
	var workers []config.Worker
	for i := range 12 {
		workers = append(workers, testenv.Worker(fmt.Sprintf("s-%08x", i), "127.0.0.1:1", "ready"))
	}
	n := testenv.Node(b, workers, "")
	n.Capture = &config.Capture{Dir: b.TempDir(), RotateMB: 64, RotateS: 300, GroupS: 10}
	processorTime := func() time.Duration {
		var usage syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	var wallTime, cpuTime [2]time.Duration // without and with a recorder
	var dropped, captured int64
	runJobs := func(withRecorder int) {
		counters := new(dispatch.Counters)
		c, err := dispatch.New(n, counters, instantTransport{}, nil, instantTransport{}, nil)
		if err != nil {
			b.Fatal(err)
		}
		var r *Recorder
		if withRecorder == 1 {
			r = NewRecorder(n, counters, c.Clock)
			c.Observer = r
			go r.Run()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go c.Run(ctx)
		begin, cpuBefore := time.Now(), processorTime()
		var all sync.WaitGroup
		slots := make(chan bool, window)
		for i := range jobs {
			all.Add(1)
			slots <- true
			j := &dispatch.Job{ID: fmt.Sprint(i), Class: i % 2, Tenant: i % 2, Slots: 1, Timeout: 5 * time.Second}
			j.Reply = func(dispatch.Answer) { <-slots; all.Done() }
			if err := c.Submit(j); err != nil {
				b.Fatal(err)
			}
		}
		all.Wait()
		wallTime[withRecorder] += time.Since(begin)
		cancel()
		c.Wait()
		if r != nil {
			if err := r.Close(context.Background()); err != nil {
				b.Fatal(err)
			}
			dropped, captured = dropped+counters.CaptureDropped.Load(), captured+counters.Captured.Load()
		}
		cpuTime[withRecorder] += processorTime() - cpuBefore
	}
	runJobs(0)
	runJobs(1)
	wallTime, cpuTime, dropped, captured = [2]time.Duration{}, [2]time.Duration{}, 0, 0
	b.ResetTimer()
	for i := range b.N {
		runJobs(i % 2)
		runJobs(1 - i%2)
	}
	b.ReportMetric(wallTime[1].Seconds()/wallTime[0].Seconds(), "time-on/off")
	b.ReportMetric(cpuTime[1].Seconds()/cpuTime[0].Seconds(), "cpu-on/off")
	b.ReportMetric((cpuTime[1]-cpuTime[0]).Seconds()*1e6/float64(b.N*jobs), "cpu-µs/job-more")
	b.ReportMetric(float64(dropped)/float64(dropped+captured), "lost/row")
	b.ReportMetric(float64(jobs*b.N)/wallTime[0].Seconds(), "jobs/s-off")
}
