// The listed workers: lists, the pools that tenants share, and what cold workers get.

package decision

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const buckets, unlabelled, maxLabelled = 2, 0, 0.9 // of tenants; the rest's; part of a kind that one gets

const minSlotUse, minWork = 0.5, 0.1 // of its slots, and slots, that any worker keeps at work

const longAgo = math.MinInt64 / 2 // before any event

func (d *Dispatcher) updateList(ev *Event) {
	ask, failed := d.set.Discovery == DiscoveryPoll, ev.List == ListFailed
	if d.watching = ask && !failed && ev.List != ListCached; ask && !d.watching {
		d.scheduleCall(d.set.MaxDiscoverySilence << count(failed)) // four times the silence is allowed then
	}
	if failed {
		return
	}
	for i := 0; ev.List != ListDelta && i < len(d.order); i++ { // who is missing has left
		d.order[i].State = Gone
	}
	d.firstList = cmp.Or(d.firstList, d.now)
	for _, e := range ev.Entries {
		stray := e.normalize(&d.set)
		w := cmp.Or(d.workers[e.Worker], &worker{Entry: e, pace: 1, broke: longAgo, othersAt: longAgo})
		if d.workers[e.Worker] = w; e.State == Gone { // its last line may leave out where it stood
			e.Zone, e.Cell, e.Kind, e.Started = w.Zone, w.Cell, w.Kind, w.Started
		} else if e.Started > w.Started { // a new process: nothing of the old one's ways holds
			w.suspect, w.pace, w.fullTill, w.hasTurn, w.filled, w.others, w.othersAt = false, 1, 0, false, 0, 0, d.now
		}
		w.Entry, w.misplaced = e, stray
	}
	maps.DeleteFunc(d.workers, func(_ WorkerID, w *worker) bool { return w.State == Gone && w.out < 1e-9 })
	order := func(a, b *worker) int { return cmp.Compare(a.Worker, b.Worker) }
	d.order = slices.SortedFunc(maps.Values(d.workers), order)
	d.rebuild()
	for _, w := range d.order {
		d.weighted = d.weighted || w.Weight != 1
		d.shut(w)
	}
}

// shut closes idle connections to a draining worker: at the notice and after outcomes, late ones once more.
func (d *Dispatcher) shut(w *worker) {
	was := w.shut
	if w.shut = d.set.DrainCloseWithin > 0 && w.State == Draining; was || !w.shut { // a later drain counts anew
		return
	}
	d.acts = append(d.acts, Action{Kind: CloseIdle, Worker: w.Worker})
	if d.now-w.broke < d.set.DrainCloseWithin/2 {
		d.acts = append(d.acts, Action{Kind: SetTimer, Token: closeToken, Delay: d.set.DrainCloseWithin / 2})
	}
}

// labelTenants hashes tenants to buckets, which but for one name labels.
func (d *Dispatcher) labelTenants() {
	var taken [buckets]int
	for i, t := range d.set.Tenants {
		b := hash(uint64(i), 1) % buckets
		if t.Share > 0 && b != unlabelled && taken[b] == 0 {
			taken[b], d.shares = len(d.shares), append(d.shares, 0)
		}
		d.labels = append(d.labels, taken[b])
		d.shares[taken[b]] += t.Share
	}
}

// rebuild fills the pools: in label order and by kind, the highest ranking ready workers; leftovers last.
func (d *Dispatcher) rebuild() {
	d.pools = make([][][]*worker, len(d.shares))
	for kind := range d.set.Kinds {
		free := slices.DeleteFunc(slices.Clone(d.order), func(w *worker) bool {
			return w.Kind != kind || w.State != Ready
		})
		d.ready[kind] = float64(len(free))
		for step := range d.shares {
			l, n := (step+1)%len(d.shares), len(free)
			if l != unlabelled {
				slices.SortStableFunc(free, func(a, b *worker) int {
					return cmp.Compare(hash(uint64(b.Worker), uint64(l)), hash(uint64(a.Worker), uint64(l)))
				})
				n = max(min(int(math.Round(d.ready[kind]*min(maxLabelled, d.shares[l]))), n-1), 0)
			}
			slices.SortStableFunc(free[:n], func(a, b *worker) int { return d.place(b) - d.place(a) })
			d.pools[l], free = append(d.pools[l], free[:n]), free[n:]
		}
	}
}

// place is a worker's kind in the own zone or elsewhere; it counts only where many share workers.
func (d *Dispatcher) place(w *worker) int { return 2*w.Kind + count(d.wide && d.near(w)) }

func (d *Dispatcher) near(w *worker) bool { return w.Zone == d.set.Zone }

// coldShare is the part of its capacity that a worker surely has; 1 when warm.
func (d *Dispatcher) coldShare(w *worker) float64 {
	if age := d.now - w.Started; w.Started > 0 && age < d.set.SlowStartDuration {
		return d.set.SlowStartShare + (1-d.set.SlowStartShare)*float64(max(age, 0))/float64(d.set.SlowStartDuration)
	}
	return 1
}

// warm tells whether j may go to a cold worker: by chance, all together what a warm one bears x cold share.
func (d *Dispatcher) warm(w *worker, j *job) bool {
	n, span, multiple := float64(d.set.Dispatchers), d.set.OverloadSpan.Seconds(), d.set.OverloadMultiple
	share := d.coldShare(w)
	cost := max(j.Slots*d.run[j.Class]*d.slow[w.Kind], 1e-3)
	known := memory.Seconds() * (1 - d.decay(d.firstList, memory))
	rate := max(d.served[w.Kind]/max(known, 1)/max(d.ready[w.Kind], 1), minWork/n,
		max(min(d.usual[d.place(w)], d.slotCount[w.Kind]), minSlotUse*d.slotCount[w.Kind])*float64(count(d.sees))/n)
	limit := multiple * share * rate * n * span / cost // jobs that all may send in a span
	root := max(math.Sqrt(limit+sigmas*sigmas/4)-sigmas/2, 0)
	mean := min(root*root/max(limit, 1e-9)*multiple, 1) * share * rate
	if since := (d.now - cmp.Or(w.filled, d.now)).Seconds(); since > 0 || w.filled == 0 { // nothing is saved up
		w.hasTurn, w.filled = d.rng.Float64() < mean*min(since, span)/cost, d.now
	}
	return w.hasTurn
}
