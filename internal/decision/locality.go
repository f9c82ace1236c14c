package decision

// localities is the number of groups that the workers of a kind are split into: local ones and all others.
const localities = 2

// locality knows which workers are in this dispatcher's zone, and assigns workers to groups of similar load.
type locality struct {
	zone       int
	splitsKind bool // the local workers of a kind form their own group
}

// isLocal reports whether a worker is in this dispatcher's zone.
func (l locality) isLocal(worker *workerState) bool { return worker.Zone == l.zone }

// group returns the index of a worker's group. The groups of a kind are adjacent, with the local one last.
func (l locality) group(worker *workerState) int {
	return localities*worker.Kind + boolToInt(l.splitsKind && l.isLocal(worker))
}
