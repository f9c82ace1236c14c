package fleetsim

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/golden"
)

// goldenDays returns changes of descriptions by name. Together the days cover each type of fault, a burst and each
// limit.
func goldenDays() map[string]func(*Fleet, *Load) {
	return map[string]func(*Fleet, *Load){
		"1 calm": func(*Fleet, *Load) {},
		"2 overload with retries": func(_ *Fleet, l *Load) {
			l.Factor, l.Retries.Max = 3, 3
		},
		"3 zone lost": func(f *Fleet, _ *Load) {
			f.Faults = []Fault{{Type: "zone_lost", Zone: "montreal", StartSeconds: 3, DurationSeconds: 4}}
		},
		"4 deaths and drain": func(f *Fleet, _ *Load) {
			f.Faults = []Fault{{Type: "deaths", Fraction: 0.4, StartSeconds: 2, DurationSeconds: 3}, {Type: "drain", Fraction: 0.3, Kind: "std-2c", StartSeconds: 5, DurationSeconds: 2}}
		},
		"5 shared machines and late reports": func(f *Fleet, _ *Load) {
			f.Faults = []Fault{{Type: "shared", Fraction: 0.5, StartSeconds: 1, DurationSeconds: 8, Amount: 0.7, OnSeconds: 1, OffSeconds: 0.5}, {Type: "reports_late", StartSeconds: 2, DurationSeconds: 6, Amount: 2}}
		},
		"6 burst and few connections": func(f *Fleet, l *Load) {
			l.Bursts = []Burst{{"univ-gaspesie", 8, 2, 5}}
			f.Dispatchers[0].OpenJobs, f.Dispatchers[1].Connections = 6, 3
		},
	}
}

// TestGoldenDays compares the results of seeded days with recorded ones. It fails if any value of a result changes.
func TestGoldenDays(t *testing.T) {
	var out bytes.Buffer
	days := goldenDays()
	for _, name := range []string{"1 calm", "2 overload with retries", "3 zone lost", "4 deaths and drain", "5 shared machines and late reports", "6 burst and few connections"} {
		for _, seed := range []uint64{1, 20261202} {
			f, l := smallFleet(), steadyLoad(10, 110)
			days[name](f, l)
			result := simulate(t, f, l, seed)
			text, err := json.Marshal(result)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "day %s, seed %d: score %v, %d events, sha256 %x\n", name, seed, result.Score, result.Events, sha256.Sum256(text))
		}
	}
	golden.AssertBytes(t, out.Bytes(), "days.txt")
}

// TestGoldenArrivals compares the requests of seeded days with recorded ones. It fails if the order of random draws
// changes.
func TestGoldenArrivals(t *testing.T) {
	var out bytes.Buffer
	for _, seed := range []uint64{1, 20261202} {
		l := steadyLoad(10, 110)
		l.Bursts = []Burst{{"univ-gaspesie", 8, 2, 5}}
		l.Rate = append(l.Rate, RatePoint{6, 40})
		next, err := Arrivals(smallFleet(), l, seed)
		if err != nil {
			t.Fatal(err)
		}
		sum, count := sha256.New(), 0
		for a, ok := next(); ok; a, ok = next() {
			fmt.Fprintln(sum, int64(a.At), a.Class, a.Tenant, a.Dispatcher, a.WorkSeconds)
			count++
		}
		fmt.Fprintf(&out, "seed %d: %d requests, sha256 %x\n", seed, count, sum.Sum(nil))
	}
	golden.AssertBytes(t, out.Bytes(), "arrivals.txt")
}

// TestGoldenDescriptions compares the keys of the descriptions, the defaults and the keys of a result with recorded
// ones.
func TestGoldenDescriptions(t *testing.T) {
	f, l := smallFleet(), steadyLoad(1, 5)
	f.Faults = []Fault{{Type: "deaths", Fraction: 0.25}}
	l.Bursts = []Burst{{"univ-gaspesie", 8, 0.2, 0.5}}
	l.Tenants = []TenantLoad{{"univ-gaspesie", 1}}
	text, err := json.MarshalIndent(struct {
		Fleet  *Fleet  `json:"fleet"`
		Load   *Load   `json:"load"`
		Result *Result `json:"result"`
	}{f.WithDefaults(), l, simulate(t, f, l, 1)}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.AssertBytes(t, append(text, '\n'), "descriptions.json")
}
