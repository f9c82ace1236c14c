package controlplane

import (
	"context"
	"sync"
	"time"

	"ivyfold/internal/cluster"
	"ivyfold/internal/rpc"
)

const (
	// askedTimeout is how long a store that its primary does not reach has to answer the control plane.
	askedTimeout = 100 * time.Millisecond
	// answerMemory is for how long an answer, or its lack, holds: many primaries ask about one store at the same moment.
	answerMemory = 100 * time.Millisecond
)

// pings asks processes whether they live, once for all who want to know at one moment.
type pings struct {
	leases *leaseTable
	pool   *rpc.Pool

	mutex sync.Mutex
	known map[string]*pingResult // by name
}

// pingResult is what came of asking a process.
type pingResult struct {
	asked   time.Time
	done    chan struct{} // closed when answers is set
	answers bool
}

func newPings(leases *leaseTable, pool *rpc.Pool) *pings {
	return &pings{leases: leases, pool: pool, known: map[string]*pingResult{}}
}

// answers tells whether a process whose lease runs answers a call.
func (p *pings) answers(ctx context.Context, name string) bool {
	p.mutex.Lock()
	result := p.known[name]
	if result == nil || time.Since(result.asked) > askedTimeout+answerMemory {
		result = &pingResult{asked: time.Now(), done: make(chan struct{})}
		p.known[name] = result
		go p.ask(name, result)
	}
	p.mutex.Unlock()
	select {
	case <-result.done:
		return result.answers
	case <-ctx.Done():
		return false
	}
}

// ask asks a process.
func (p *pings) ask(name string, result *pingResult) {
	defer close(result.done)
	info, live := p.leases.live(name, time.Now())
	if !live {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askedTimeout)
	defer cancel()
	var answer cluster.PingAnswer
	_, err := p.pool.Get(info.Address).Call(ctx, cluster.MethodPing, struct{}{}, nil, &answer)
	result.answers = err == nil && answer.Name == info.Name && answer.Incarnation == info.Incarnation
}
