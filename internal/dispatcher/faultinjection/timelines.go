package faultinjection

import (
	"math/rand/v2"
	"slices"
)

// Kinds maps the name of each kind of timeline to a function that generates a random one for n nodes. timeout is
// the failure timeout in seconds; most times of the steps are multiples of it.
var Kinds = map[string]func(rng *rand.Rand, n int, timeout float64) Timeline{
	// One node is killed, and started again once all others have declared it failed.
	"crash": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := []int{rng.IntN(n)}
		return Timeline{Steps: []Step{{AtS: 0, Do: "kill", Nodes: nodes}, {AtS: 4 * timeout, Do: "start", Nodes: nodes}}}
	},
	// Two thirds are killed together and start again together before the failure timeout, without their state.
	"herd": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := rng.Perm(n)[:(2*n+2)/3]
		return Timeline{Steps: []Step{{AtS: 0, Do: "kill", Nodes: nodes}, {AtS: 0.3 * timeout, Do: "start", Nodes: nodes}}}
	},
	"short stops": func(rng *rand.Rand, n int, timeout float64) (t Timeline) {
		for k := range 8 {
			t.Steps = append(t.Steps, Step{AtS: float64(k) * timeout, Do: "stop", Nodes: []int{rng.IntN(n)}, ForS: timeout * (0.2 + 0.6*rng.Float64())})
		}
		return t
	},
	"long stop": func(rng *rand.Rand, n int, timeout float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "stop", Nodes: []int{rng.IntN(n)}, ForS: 5 * timeout}, {AtS: 5 * timeout, Do: "heal"}}}
	},
	"all stopped in turns": func(rng *rand.Rand, n int, timeout float64) (t Timeline) {
		for k, i := range slices.Concat(rng.Perm(n), rng.Perm(n)) {
			t.Steps = append(t.Steps, Step{AtS: float64(k) * 0.4 * timeout, Do: "stop", Nodes: []int{i}, ForS: 0.7 * timeout})
		}
		return t
	},
	"one way": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := rng.Perm(n)
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: nodes[:1], To: nodes[1:2]}, {AtS: 6 * timeout, Do: "heal"}}}
	},
	"one link": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := rng.Perm(n)
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: nodes[:1], To: nodes[1:2]}, {AtS: 0, Do: "cut", Nodes: nodes[1:2], To: nodes[:1]}, {AtS: 6 * timeout, Do: "heal"}}}
	},
	// Only the larger side may declare the smaller one failed.
	"split": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := rng.Perm(n)
		small, large := nodes[:(n-1)/2], nodes[(n-1)/2:]
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: small, To: large, FaultBegins: small}, {AtS: 0, Do: "cut", Nodes: large, To: small},
			{AtS: 6 * timeout, Do: "heal", FaultEnds: small}}}
	},
	// Each node reaches only its two neighbours in a row.
	"chain": func(rng *rand.Rand, n int, timeout float64) (t Timeline) {
		nodes := rng.Perm(n)
		for k := range n {
			for l := range n {
				if k-l > 1 || l-k > 1 {
					t.Steps = append(t.Steps, Step{AtS: 0, Do: "cut", Nodes: nodes[k : k+1], To: nodes[l : l+1]})
				}
			}
		}
		t.Steps = append(t.Steps, Step{AtS: 5 * timeout, Do: "heal"})
		return t
	},
	"loss": func(rng *rand.Rand, n int, timeout float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "loss", Share: 0.3}, {AtS: 8 * timeout, Do: "loss"}}}
	},
	"delays": func(rng *rand.Rand, n int, timeout float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "delay", Ms: [2]int{1, int(150 * timeout)}}, {AtS: 0, Do: "double", Share: 0.3},
			{AtS: 8 * timeout, Do: "delay"}, {AtS: 8 * timeout, Do: "double"}}}
	},
	// One node sends but receives nothing: its suspicions must not count, and others may declare it failed.
	"deaf": func(rng *rand.Rand, n int, timeout float64) Timeline {
		nodes := []int{rng.IntN(n)}
		return Timeline{Steps: []Step{{AtS: 0, Do: "deaf", Nodes: nodes, FaultBegins: nodes}, {AtS: 6 * timeout, Do: "hear", Nodes: nodes, FaultEnds: nodes}}}
	},
	"rolling restart": func(rng *rand.Rand, n int, timeout float64) (t Timeline) {
		step := max(n/10, 1)
		for k := 0; k < n; k += step {
			nodes := []int{}
			for i := k; i < min(k+step, n); i++ {
				nodes = append(nodes, i)
			}
			at := float64(k/step) * 2
			t.Steps = append(t.Steps, Step{AtS: at, Do: "term", Nodes: nodes}, Step{AtS: at + 1.6, Do: "start", Nodes: nodes})
		}
		return t
	},
	// The last node starts under the name of the first one, at another address: the first one has to leave and stay
	// away.
	"one name twice": func(rng *rand.Rand, n int, timeout float64) Timeline {
		return Timeline{StartLater: []int{n - 1}, Steps: []Step{{AtS: 0, Do: "rename", Nodes: []int{n - 1}, As: "n0"}, {AtS: 0, Do: "start", Nodes: []int{n - 1}, FaultBegins: []int{0}}}}
	},
	// One node is alone at first, and all others start together.
	"growth": func(rng *rand.Rand, n int, timeout float64) (t Timeline) {
		for i := 1; i < n; i++ {
			t.StartLater = append(t.StartLater, i)
		}
		t.Steps = []Step{{AtS: 0, Do: "start", Nodes: t.StartLater}}
		return t
	},
}

// NewTimeline generates a timeline of a kind. The first step comes after all nodes have found each other, and a quiet
// span follows the last one. failureTimeoutS is the failure timeout in seconds.
func NewTimeline(kind string, n int, seed uint64, failureTimeoutS float64) Timeline {
	t := Kinds[kind](rand.New(rand.NewPCG(seed, uint64(n))), n, failureTimeoutS)
	t.Kind, t.Nodes, t.Seed, t.QuietS = kind, n, seed, max(6*failureTimeoutS, 5)+float64(n)/10
	found := 3.5 + float64(n)/10
	for i := range t.Steps {
		t.Steps[i].AtS += found
	}
	return t
}
