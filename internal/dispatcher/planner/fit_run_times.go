package planner

import (
	"maps"
	"math"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gladepick/internal/dispatcher/capture"
	"gladepick/internal/dispatcher/fleetsim"
)

// Constants of the fit of run times.
const (
	minRunTimes          = 50 // of all classes together
	minClassRunTimes     = 20
	runTimeIterations    = 30
	maxLognormalDistance = 0.1  // greatest distance at which run times count as lognormal
	kolmogorovQuantile   = 1.36 // 95 % quantile of the Kolmogorov-Smirnov statistic, times the square root of the number of rows
)

// runTime is the run time of one attempt.
type runTime struct {
	class  int
	worker string
	log    float64 // natural logarithm of milliseconds
}

// runTimeFit is an additive model of run times: the logarithm of a run time is the mean of its class minus the speed of
// its worker, both logarithms.
type runTimeFit struct {
	rows      []runTime
	kind      map[string]string    // by worker
	perWorker map[string]int       // number of rows
	classMean []float64            // by class: the mean logarithm, without shift
	speed     map[string]float64   // by worker: the logarithm of its speed, without shift
	shift     float64              // added to logarithms to bring speeds to the fleet's scale
	byKind    map[string][]float64 // by kind: the logarithms of its workers' speeds, without shift
}

// fitRunTimes fits each class's work and each kind's speed.
func (fit *Fit) fitRunTimes(attempts []capture.Attempt, fleet *fleetsim.Fleet) {
	times := collectRunTimes(attempts, fleet)
	if len(times.rows) < minRunTimes {
		fit.warn("only %d jobs tell their running time: give work_ms and speeds by hand", len(times.rows))
		return
	}
	times.iterate(len(fleet.Classes))
	times.scaleSpeeds(fit, fleet)
	for class := range times.classMean {
		times.fitClass(fit, class, fleet)
	}
	for _, kind := range slices.Sorted(maps.Keys(times.byKind)) {
		times.fitKind(fit, kind)
	}
	for _, k := range fleet.Kinds {
		if len(times.byKind[k.Name]) == 0 && k.Speed[0] == 0 {
			fit.warn("no job of the captures ran on %s: its speed must be given", k.Name)
		}
	}
}

// collectRunTimes collects the run times of attempts that succeeded.
func collectRunTimes(attempts []capture.Attempt, fleet *fleetsim.Fleet) *runTimeFit {
	times := &runTimeFit{kind: map[string]string{}, perWorker: map[string]int{}}
	for _, attempt := range attempts {
		class := classIndex(fleet, attempt.Class)
		if attempt.Outcome != "ok" || attempt.Started < 0 || attempt.Ended <= attempt.Started || class < 0 {
			continue
		}
		times.rows = append(times.rows, runTime{class, attempt.Worker, math.Log(float64(attempt.Ended-attempt.Started) / 1e6)})
		times.kind[attempt.Worker] = attempt.Kind
		times.perWorker[attempt.Worker]++
	}
	return times
}

// iterate fits the classes and the workers in turn, each to the residuals of the other.
func (times *runTimeFit) iterate(classes int) {
	times.classMean, times.speed = make([]float64, classes), map[string]float64{}
	for range runTimeIterations {
		sum, n := make([]float64, classes), make([]float64, classes)
		for _, r := range times.rows {
			sum[r.class] += r.log + times.speed[r.worker]
			n[r.class]++
		}
		for class := range times.classMean {
			times.classMean[class] = sum[class] / max(n[class], 1)
		}
		byWorker := map[string]float64{}
		for _, r := range times.rows {
			byWorker[r.worker] += times.classMean[r.class] - r.log
		}
		for worker := range byWorker {
			times.speed[worker] = byWorker[worker] / float64(times.perWorker[worker])
		}
	}
}

// scaleSpeeds sets the shift such that speeds match those that the fleet gives. If it gives none, the first captured
// kind has a speed of 1.
func (times *runTimeFit) scaleSpeeds(fit *Fit, fleet *fleetsim.Fleet) {
	times.byKind = map[string][]float64{}
	for _, worker := range slices.Sorted(maps.Keys(times.speed)) { // sorted, as floating-point sums depend on the order
		times.byKind[times.kind[worker]] = append(times.byKind[times.kind[worker]], times.speed[worker])
	}
	knownWorkers := 0.0
	for _, k := range fleet.Kinds {
		if k.Speed[0] > 0 && len(times.byKind[k.Name]) > 0 {
			workers := float64(len(times.byKind[k.Name]))
			times.shift += workers * (math.Log((k.Speed[0]+k.Speed[1])/2) - stat.Mean(times.byKind[k.Name], nil))
			knownWorkers += workers
		}
	}
	if knownWorkers > 0 {
		times.shift /= knownWorkers
		return
	}
	for _, k := range fleet.Kinds {
		if len(times.byKind[k.Name]) > 0 {
			times.shift = -stat.Mean(times.byKind[k.Name], nil)
			fit.warn("the fleet gives no speed: %s counts as 1, and stretch is counted in its running times", k.Name)
			return
		}
	}
}

// fitClass fits the work of a class, and warns if it does not follow a lognormal distribution.
func (times *runTimeFit) fitClass(fit *Fit, class int, fleet *fleetsim.Fleet) {
	name := fleet.Classes[class].Name
	var residuals []float64
	for _, r := range times.rows {
		if r.class == class {
			residuals = append(residuals, r.log+times.speed[r.worker]-times.classMean[class])
		}
	}
	if len(residuals) < minClassRunTimes {
		fit.warn("only %d jobs of %s tell their running time", len(residuals), name)
		return
	}
	sort.Float64s(residuals)
	deviation := stat.StdDev(residuals, nil)
	mean := math.Exp(times.classMean[class] + times.shift + deviation*deviation/2)
	at := slices.IndexFunc(fit.Load.Classes, func(c fleetsim.ClassLoad) bool { return c.Name == name })
	if at >= 0 {
		fit.Load.Classes[at].WorkMs, fit.Load.Classes[at].CV = mean, math.Sqrt(math.Exp(deviation*deviation)-1)
	}
	n := float64(len(residuals))
	halfWidth := normalQuantile * mean * math.Sqrt(deviation*deviation/n+deviation*deviation*deviation*deviation/(2*n))
	fit.addFigure("work of "+name+", ms", mean, halfWidth, len(residuals))
	distance := normalDistance(residuals, deviation)
	fit.addFigure("distance of "+name+"'s work to the lognormal", distance, kolmogorovQuantile/math.Sqrt(n), len(residuals))
	if distance > maxLognormalDistance {
		fit.warn("running times of %s are no lognormal (distance %.2f)", name, distance)
	}
}

// normalDistance returns the Kolmogorov-Smirnov distance of sorted values to the normal distribution of mean 0 and the
// given standard deviation. It returns 0 for a deviation of 0, as of values that are all equal.
func normalDistance(sorted []float64, deviation float64) float64 {
	if deviation == 0 {
		return 0
	}
	normal, distance, n := distuv.Normal{Mu: 0, Sigma: deviation}, 0.0, float64(len(sorted))
	for i, v := range sorted {
		p := normal.CDF(v)
		distance = max(distance, math.Abs(p-float64(i)/n), math.Abs(p-float64(i+1)/n))
	}
	return distance
}

// fitKind fits the range of a kind's speeds: a uniform distribution with the variance between its workers that the
// noise of run times does not explain.
func (times *runTimeFit) fitKind(fit *Fit, kind string) {
	speeds := times.byKind[kind]
	noise, jobs := 0.0, 0
	for _, worker := range slices.Sorted(maps.Keys(times.perWorker)) {
		n := times.perWorker[worker]
		if times.kind[worker] == kind {
			noise += 1 / float64(n) / float64(len(speeds))
			jobs += n
		}
	}
	mean, between := stat.Mean(speeds, nil)+times.shift, 0.0
	if len(speeds) > 1 {
		between = math.Sqrt(max(stat.Variance(speeds, nil)-noise, 0))
	} else {
		fit.warn("one machine of %s was seen: how they differ is not known", kind)
	}
	fit.kindSpeed[kind] = fleetsim.Range{math.Exp(mean - math.Sqrt(3)*between), math.Exp(mean + math.Sqrt(3)*between)}
	halfWidth := normalQuantile * math.Exp(mean) * math.Sqrt(noise/float64(len(speeds))+between*between/float64(len(speeds)))
	fit.addFigure("speed of "+kind, math.Exp(mean), halfWidth, jobs)
}
