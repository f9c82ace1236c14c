package decision

// localities is in how many parts the workers of a kind are split: those of the own zone, and all others.
const localities = 2

// locality tells which workers are in this dispatcher's zone, and sorts workers into groups that are
// alike in load.
type locality struct {
	zone       int
	splitsKind bool // the own zone's workers of a kind are a group by themselves
}

// isLocal tells whether a worker is in this dispatcher's zone.
func (l locality) isLocal(worker *workerState) bool { return worker.Zone == l.zone }

// group is the index of a worker's group. The groups of a kind follow one another, that of the own zone last.
func (l locality) group(worker *workerState) int {
	return localities*worker.Kind + count(l.splitsKind && l.isLocal(worker))
}
