package faultinjection

import (
	"math/rand/v2"
	"slices"
)

// Kinds generates a random timeline of n nodes, by the name of its kind. b is the failure timeout in seconds; most
// times of the steps are multiples of it.
var Kinds = map[string]func(rng *rand.Rand, n int, b float64) Timeline{
	// One node is killed, and started again once all others have taken it for failed.
	"crash": func(rng *rand.Rand, n int, b float64) Timeline {
		x := []int{rng.IntN(n)}
		return Timeline{Steps: []Step{{AtS: 0, Do: "kill", Nodes: x}, {AtS: 4 * b, Do: "start", Nodes: x}}}
	},
	// Two thirds are killed together and start again together before the failure timeout, without their state.
	"herd": func(rng *rand.Rand, n int, b float64) Timeline {
		x := rng.Perm(n)[:(2*n+2)/3]
		return Timeline{Steps: []Step{{AtS: 0, Do: "kill", Nodes: x}, {AtS: 0.3 * b, Do: "start", Nodes: x}}}
	},
	"short stops": func(rng *rand.Rand, n int, b float64) (t Timeline) {
		for k := range 8 {
			t.Steps = append(t.Steps, Step{AtS: float64(k) * b, Do: "stop", Nodes: []int{rng.IntN(n)}, ForS: b * (0.2 + 0.6*rng.Float64())})
		}
		return t
	},
	"long stop": func(rng *rand.Rand, n int, b float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "stop", Nodes: []int{rng.IntN(n)}, ForS: 5 * b}, {AtS: 5 * b, Do: "heal"}}}
	},
	"all stopped in turns": func(rng *rand.Rand, n int, b float64) (t Timeline) {
		for k, i := range slices.Concat(rng.Perm(n), rng.Perm(n)) {
			t.Steps = append(t.Steps, Step{AtS: float64(k) * 0.4 * b, Do: "stop", Nodes: []int{i}, ForS: 0.7 * b})
		}
		return t
	},
	"one way": func(rng *rand.Rand, n int, b float64) Timeline {
		x := rng.Perm(n)
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: x[:1], To: x[1:2]}, {AtS: 6 * b, Do: "heal"}}}
	},
	"one link": func(rng *rand.Rand, n int, b float64) Timeline {
		x := rng.Perm(n)
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: x[:1], To: x[1:2]}, {AtS: 0, Do: "cut", Nodes: x[1:2], To: x[:1]}, {AtS: 6 * b, Do: "heal"}}}
	},
	// Only the larger side may take the smaller one for failed.
	"split": func(rng *rand.Rand, n int, b float64) Timeline {
		x := rng.Perm(n)
		small, large := x[:(n-1)/2], x[(n-1)/2:]
		return Timeline{Steps: []Step{{AtS: 0, Do: "cut", Nodes: small, To: large, Hurts: small}, {AtS: 0, Do: "cut", Nodes: large, To: small},
			{AtS: 6 * b, Do: "heal", Eases: small}}}
	},
	// Each node reaches only its two neighbours in a row.
	"chain": func(rng *rand.Rand, n int, b float64) (t Timeline) {
		x := rng.Perm(n)
		for k := range n {
			for l := range n {
				if k-l > 1 || l-k > 1 {
					t.Steps = append(t.Steps, Step{AtS: 0, Do: "cut", Nodes: x[k : k+1], To: x[l : l+1]})
				}
			}
		}
		t.Steps = append(t.Steps, Step{AtS: 5 * b, Do: "heal"})
		return t
	},
	"loss": func(rng *rand.Rand, n int, b float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "loss", Share: 0.3}, {AtS: 8 * b, Do: "loss"}}}
	},
	"delays": func(rng *rand.Rand, n int, b float64) Timeline {
		return Timeline{Steps: []Step{{AtS: 0, Do: "delay", Ms: [2]int{1, int(150 * b)}}, {AtS: 0, Do: "double", Share: 0.3},
			{AtS: 8 * b, Do: "delay"}, {AtS: 8 * b, Do: "double"}}}
	},
	// One node sends but receives nothing: its suspicions must not count, and others may take it for failed.
	"deaf": func(rng *rand.Rand, n int, b float64) Timeline {
		x := []int{rng.IntN(n)}
		return Timeline{Steps: []Step{{AtS: 0, Do: "deaf", Nodes: x, Hurts: x}, {AtS: 6 * b, Do: "hear", Nodes: x, Eases: x}}}
	},
	"rolling restart": func(rng *rand.Rand, n int, b float64) (t Timeline) {
		step := max(n/10, 1)
		for k := 0; k < n; k += step {
			x := []int{}
			for i := k; i < min(k+step, n); i++ {
				x = append(x, i)
			}
			at := float64(k/step) * 2
			t.Steps = append(t.Steps, Step{AtS: at, Do: "term", Nodes: x}, Step{AtS: at + 1.6, Do: "start", Nodes: x})
		}
		return t
	},
	// The last node starts under the name of the first one, at another address: the first one has to leave and stay
	// away.
	"one name twice": func(rng *rand.Rand, n int, b float64) Timeline {
		return Timeline{Late: []int{n - 1}, Steps: []Step{{AtS: 0, Do: "rename", Nodes: []int{n - 1}, As: "n0"}, {AtS: 0, Do: "start", Nodes: []int{n - 1}, Hurts: []int{0}}}}
	},
	// One node is alone at first, and all others start together.
	"growth": func(rng *rand.Rand, n int, b float64) (t Timeline) {
		for i := 1; i < n; i++ {
			t.Late = append(t.Late, i)
		}
		t.Steps = []Step{{AtS: 0, Do: "start", Nodes: t.Late}}
		return t
	},
}

// DrawTimeline generates a timeline of a kind. The first step comes after all nodes have found each other, and a quiet
// span follows the last one. bearS is the failure timeout in seconds.
func DrawTimeline(kind string, n int, seed uint64, bearS float64) Timeline {
	t := Kinds[kind](rand.New(rand.NewPCG(seed, uint64(n))), n, bearS)
	t.Kind, t.Nodes, t.Seed, t.QuietS = kind, n, seed, max(6*bearS, 5)+float64(n)/10
	found := 3.5 + float64(n)/10
	for i := range t.Steps {
		t.Steps[i].AtS += found
	}
	return t
}
