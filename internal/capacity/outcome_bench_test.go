package capacity_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gladepick/internal/message"
	"gladepick/internal/messagestore/client"
)

// queryEvery is the share of outcomes that BenchmarkOutcome asks for: one in so many.
const queryEvery = 20

// BenchmarkOutcome ends stored messages at a constant rate while none is accepted, and reports the syncs per second and
// disk, the processor time of the client and both stores for one outcome, and the mean time until a query answers it.
func BenchmarkOutcome(b *testing.B) {
	for _, rate := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { benchmarkOutcome(b, rate) })
	}
}

func benchmarkOutcome(b *testing.B, rate int) {
	pair := newStorePair(b)
	var messages []*message.Message
	for i := range b.N {
		messages = append(messages, mustStore(b, pair, i))
	}
	syncsBefore, cpuBefore, started := pair.syncs.Load(), processorTime(), time.Now()
	var queries sync.WaitGroup
	waited := make(chan time.Duration, b.N)
	b.ResetTimer()
	for i, ended := range messages {
		time.Sleep(time.Until(started.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		pair.stores[0].Ended(ended, message.Outcome{State: message.Completed, Stamp: "stamp"})
		if i%queryEvery == 0 {
			queries.Go(func() { waited <- queryTime(b, pair, ended.ID) })
		}
	}
	b.StopTimer()
	elapsed, used := time.Since(started), processorTime()-cpuBefore
	syncs := pair.syncs.Load() - syncsBefore
	queries.Wait()
	close(waited)
	var total time.Duration
	count := 0
	for each := range waited {
		total += each
		count++
	}
	b.ReportMetric(float64(syncs)/elapsed.Seconds()/benchReplicas, "syncs/s/disk")
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/outcome")
	b.ReportMetric(float64(total.Microseconds())/float64(count)/1000, "ms-until-answered")
}

// mustStore stores a message that is not due yet and returns it.
func mustStore(b *testing.B, pair *storePair, number int) *message.Message {
	submission := delayedSubmission(int64(number))
	id, err := pair.client.Put(context.Background(), submission, false, nil)
	assert.NilError(b, err)
	stored := submission.Message
	stored.ID = id
	stored.Partition, err = client.PartitionOf(id)
	assert.NilError(b, err)
	return &stored
}

// queryTime returns how long a query for the state of a message takes.
func queryTime(b *testing.B, pair *storePair, id string) time.Duration {
	started := time.Now()
	outcome, err := pair.client.State(context.Background(), id)
	assert.Check(b, err)
	assert.Check(b, outcome.State == message.Completed)
	return time.Since(started)
}
