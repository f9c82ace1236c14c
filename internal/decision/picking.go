// Picking: which worker gets a job.

package decision

import (
	"cmp"
	"slices"
)

const keySlotLead, keyWorkers = 2, 3 // own slots more at a key's first worker for its next; of a kind hold it

// pick finds a worker that can take j now, and tells whether one could later. Keys keep to one kind.
func (d *Dispatcher) pick(j *job) (best *worker, ready bool) {
	near := min(len(d.pools), 2)
	for n := range 2 * near { // its own pool, and only if nobody there can take it the next one
		i, late := n%near, n >= near // again at its last look: then those where it has to wait count too
		if i > 0 && j.excess || best != nil ||
			late && (d.wide || !d.sees || j.Key != 0 || d.now+2*d.tick < j.heldUntil) {
			break
		}
		kinds, reach := d.kinds(d.pools[(d.labels[j.Tenant]+i)%len(d.pools)], j)
		ready = ready || len(kinds) > 0
		for _, w := range slices.Concat(reach...) {
			if d.wide && d.coldShare(w) < 1 && d.fit(w, j) {
				return w, true // its turns are few
			}
		}
		for n, k := range kinds {
			if best != nil && !d.sees || j.Key != 0 && n > 0 && len(j.attempts) == 0 {
				break // a key leaves its kind only once turned away there
			} else if j.Key == 0 { // one of each kind where it can be told how soon they answer, else the first
				far := func(w *worker, far int) int { return far - d.place(w) }
				near, _ := slices.BinarySearchFunc(reach[k], 2*k, far)
				for _, members := range [][]*worker{reach[k][:near], reach[k][near:]} { // the own zone's by themselves
					w := d.pickOfTwo(members, j, late || d.wide)
					if best == nil || w != nil && d.forecast(w, j)[0] < d.forecast(best, j)[0] {
						best = w
					}
				}
			}
			for i, w := range reach[k] { // the nearest to the key leads until it has more own slots
				if j.Key != 0 && d.fit(w, j) && (best == nil || best.out >= w.out+keySlotLead*float64(i)) {
					best = w
				}
			}
		}
		if best != nil && d.wide && d.forecast(best, j)[1] > d.acceptableRisk(best, j) {
			best = nil
		}
	}
	if best != nil && !d.wide && d.wait(best, j.Slots) > d.longestWait(j) {
		best = nil
	}
	return best, ready
}

// kinds orders the kinds of a pool by load, and gives of each the members that the gate can let j through to.
func (d *Dispatcher) kinds(p [][]*worker, j *job) (order []int, reach [][]*worker) {
	loads := make([]float64, len(p))
	for k, members := range p {
		if c := d.class(j); c.bound() || len(j.attempts) > 0 {
			members = slices.DeleteFunc(slices.Clone(members), func(w *worker) bool {
				return !c.permitted(w) || !d.mayRetryAt(j, w)
			})
		}
		if reach = append(reach, members); len(members) == 0 {
			continue
		}
		order = append(order, k)
		load, size := d.rng.ExpFloat64(), 0.0 // by chance and size, lest all go to the one that seems best
		for _, w := range members {
			load += w.out
			size += w.Weight
		}
		if j.Key != 0 {
			load, reach[k] = expHash(j.Key, uint64(k)), nearest(members, j.Key)
		}
		if loads[k] = load / size; !d.weighted { // known by speed and slots, then
			loads[k] *= d.slow[k] / d.slots(k)
		}
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(loads[a], loads[b]) })
	return order, reach
}

// pickOfTwo takes the one with fewer own slots for its size. One that is linked and prompt is the first.
func (d *Dispatcher) pickOfTwo(members []*worker, j *job, late bool) (best *worker) {
	if len(members) == 0 {
		return nil
	}
	first, second, links := d.rng.IntN(len(members)), 0, 0
	if len(members) > 1 {
		second = (first + 1 + d.rng.IntN(len(members)-1)) % len(members)
	}
	two := [2]*worker{members[first], members[second]}
	for _, w := range members {
		if w.startedAtOnce && d.linked(w) {
			if links++; d.rng.IntN(links) == 0 {
				two[0] = w
			}
		}
	}
	for n, at := 0, d.rng.IntN(len(members)); n < 2 || n < len(members)+2 && best == nil; n++ {
		w := members[(at+n)%len(members)] // only if both are unfit, the next fit one
		if n < 2 {
			w = two[n]
		}
		near := best != nil && (d.wide && d.forecast(w, j)[0] < d.forecast(best, j)[0] || // between equals
			!d.wide && !(best.startedAtOnce && d.linked(best)) && w.Zone == d.set.Zone && best.Zone != w.Zone)
		if (best == nil || w.out*best.Weight < best.out*w.Weight || w.out == best.out && near) && d.fit(w, j) &&
			(late || d.wait(w, j.Slots) == 0) {
			best = w
		}
	}
	return best
}

// nearest loads the dice by the key, alike at all dispatchers: the few members that rank highest for it.
func nearest(members []*worker, key uint64) []*worker {
	top := slices.DeleteFunc(slices.Clone(members), func(w *worker) bool { return w.suspect })
	slices.SortStableFunc(top, func(a, b *worker) int {
		return cmp.Compare(hash(key, uint64(b.Worker)), hash(key, uint64(a.Worker)))
	})
	return top[:min(len(top), keyWorkers)]
}
