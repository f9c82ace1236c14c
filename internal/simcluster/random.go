package simcluster

import (
	"math/rand/v2"
	"sync"
)

// random is a seeded source of random numbers that is safe for concurrent use.
type random struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newRandom(seed uint64) *random { return &random{source: rand.New(rand.NewPCG(seed, seed))} }

func (r *random) uint64() uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Uint64()
}

func (r *random) intN(limit int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.IntN(limit)
}

// fraction returns a random number in the half-open interval [0, 1).
func (r *random) fraction() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Float64()
}
