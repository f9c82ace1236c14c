package soak

import (
	"math/rand/v2"
	"slices"
)

// DrawPlan draws a plan from a seed: bursts, of which the first ones are over before the troubles begin, and troubles in
// series, some of them over each other. No more than one disk is lost, and no more than one store is emptied.
func DrawPlan(seed uint64) *Plan {
	d := &drawing{
		random: rand.New(rand.NewPCG(seed, seed)),
		plan:   &Plan{Seed: seed, Fronts: 4, Stores: 4},
	}
	d.drawBursts()
	d.drawTroubles()
	slices.SortStableFunc(d.plan.Troubles, func(a, b Trouble) int { return a.AtMS - b.AtMS })
	return d.plan
}

// drawing is a plan that is being drawn.
type drawing struct {
	random *rand.Rand
	plan   *Plan
	now    int // time of the next trouble, in milliseconds
}

// between returns a random number from low to high.
func (d *drawing) between(low, high int) int { return low + d.random.IntN(high-low+1) }

// chance reports true with the given probability.
func (d *drawing) chance(probability float64) bool { return d.random.Float64() < probability }

// drawBursts draws two or three different bursts, and sometimes one that goes on beside the troubles.
func (d *drawing) drawBursts() {
	kinds := []func(){d.slowBatch, d.delayedBulk, d.popularKeys, d.mixedTraffic}
	d.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for _, kind := range kinds[:d.between(2, 3)] {
		kind()
	}
}

func (d *drawing) addBurst(burst Burst) { d.plan.Bursts = append(d.plan.Bursts, burst) }

// slowBatch is a batch that keeps its workers busy for seconds, and is done before the troubles.
func (d *drawing) slowBatch() {
	d.addBurst(Burst{AtMS: d.between(0, 500), Route: Slow, Messages: d.between(160, 240), Clients: 8, BodyBytes: d.between(10, 2000)})
}

// delayedBulk is a large amount of data that is due after the troubles.
func (d *drawing) delayedBulk() {
	d.addBurst(Burst{
		AtMS: d.between(0, 500), Route: Plain, Messages: d.between(300, 800), Clients: 12, BodyBytes: d.between(50_000, 200_000),
		DelayMS: d.between(36_000, 40_000),
	})
}

// popularKeys are bursts of ordered messages for few order keys, beside the troubles.
func (d *drawing) popularKeys() {
	d.addBurst(Burst{
		AtMS: troublesBeginMS - d.between(200, 800), Route: Ordered, Messages: d.between(2000, 6000), Clients: d.between(16, 32),
		OrderKeys: d.between(8, 24), BodyBytes: d.between(100, 4096),
	})
}

// mixedTraffic is light traffic on all routes, before and after the troubles begin.
func (d *drawing) mixedTraffic() {
	for _, at := range []int{d.between(0, 2000), troublesBeginMS + d.between(0, 4000)} {
		d.addBurst(Burst{AtMS: at, Route: Ordered, Messages: 150, Clients: 3, OrderKeys: 7, BodyBytes: 500})
		d.addBurst(Burst{AtMS: at, Route: Plain, Messages: 200, Clients: 4, BodyBytes: 500})
		d.addBurst(Burst{AtMS: at, Route: Fixed, Messages: 60, Clients: 2, BodyBytes: 500})
	}
}

// Times of a drawn plan, in milliseconds.
const (
	troublesBeginMS = 18_000 // a slow batch has ended some seconds before
	troublesEndMS   = 30_000
	pauseAfterMS    = 4_400 // a machine counts as lost for that long after it is back
)

// drawTroubles draws troubles one after the other until the time for them is over.
func (d *drawing) drawTroubles() {
	d.now = troublesBeginMS
	lostDisk, retired := false, false
	for d.now < troublesEndMS {
		switch kind := d.between(0, 9); {
		case kind <= 2 && !lostDisk:
			d.overlappingLoss()
			lostDisk = true
		case kind <= 4:
			d.quickRestarts()
		case kind == 5 && !retired:
			d.add(Retire, d.store(3), 0)
			retired = true
			d.now += d.between(2000, 4000)
		case kind == 6:
			d.add(KillStores, "", d.between(200, 1500))
			d.now += pauseAfterMS
		case kind == 7:
			d.add(Freeze, d.anyMachine(), d.between(300, 3000))
			d.now += pauseAfterMS
		case kind == 8:
			d.add(Terminate, d.anyMachine(), d.between(300, 2000))
			d.now += pauseAfterMS
		default:
			d.operatorWork()
		}
	}
}

// add adds a trouble now.
func (d *drawing) add(kind TroubleKind, machine string, forMS int) {
	d.plan.Troubles = append(d.plan.Troubles, Trouble{AtMS: d.now, Kind: kind, Machine: machine, ForMS: forMS})
}

// store returns the name of one of the first stores.
func (d *drawing) store(count int) string {
	return machineNames(roleStore, d.plan.Stores)[d.random.IntN(count)]
}

// anyMachine returns the name of a store or a front.
func (d *drawing) anyMachine() string {
	names := append(machineNames(roleStore, d.plan.Stores), machineNames(roleFront, d.plan.Fronts)...)
	return names[d.random.IntN(len(names))]
}

// overlappingLoss is a store that is away for seconds with its disk, while another one loses its disk.
func (d *drawing) overlappingLoss() {
	stores := machineNames(roleStore, d.plan.Stores)
	d.random.Shuffle(len(stores), func(i, j int) { stores[i], stores[j] = stores[j], stores[i] })
	silent := []TroubleKind{Kill, Kill, Freeze}[d.random.IntN(3)]
	d.add(silent, stores[0], d.between(2300, 2900))
	d.plan.Troubles = append(d.plan.Troubles, Trouble{
		AtMS: d.now + d.between(1150, 1900), Kind: LoseDisk, Machine: stores[1], ForMS: 1000,
	})
	d.now += 2900 + pauseAfterMS
}

// quickRestarts are one to three restarts of stores, one right after the other.
func (d *drawing) quickRestarts() {
	for range d.between(1, 3) {
		d.add(Kill, d.store(d.plan.Stores), d.between(150, 700))
		d.now += d.between(700, 1500)
	}
	d.now += pauseAfterMS / 2
}

// operatorWork is a signal to read the settings, or a change of the configuration.
func (d *drawing) operatorWork() {
	switch {
	case d.chance(0.3):
		d.add(Reload, d.anyMachine(), 0)
	case d.chance(0.4):
		d.add(SetLimit, "", d.between(4000, 9000))
	case d.chance(0.5):
		d.add(Misdirect, "", d.between(500, 2000))
	default:
		d.add(RouteAdded, "", d.between(1000, 4000))
	}
	d.now += d.between(500, 2000)
}
