package decision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
)

func labelsOf(d *Dispatcher) map[WorkerID]int {
	out := map[WorkerID]int{}
	for l, kinds := range d.pools.members {
		for _, members := range kinds {
			for _, w := range members {
				out[w.Worker] = l
			}
		}
	}
	return out
}

func listed(t *testing.T, seed uint64, list []Entry) *Dispatcher {
	d := must(t, site(), seed)
	d.Handle(time.Second, &Event{Kind: EventList, List: ListFull, Entries: list}, nil)
	return d
}

func TestDispatchersAgreeOnPools(t *testing.T) {
	list := fleet(60)
	want := labelsOf(listed(t, 1, list))
	back := slices.Clone(list)
	slices.Reverse(back)
	if len(want) != len(list) {
		t.Fatalf("%d of %d workers are in a pool", len(want), len(list))
	}
	d := listed(t, 2, nil)
	for _, e := range back { // one delta after the other comes to the same
		d.Handle(2*time.Second, &Event{Kind: EventList, List: ListDelta, Entries: []Entry{e}}, nil)
	}
	for name, got := range map[string]map[WorkerID]int{"reversed": labelsOf(listed(t, 3, back)), "deltas": labelsOf(d)} {
		for id, l := range want {
			if got[id] != l {
				t.Errorf("%s: worker %d has label %d, want %d", name, id, got[id], l)
			}
		}
	}
	for kind := range 2 {
		if len(d.pools.members[unlabelled][kind]) == 0 {
			t.Errorf("no leftovers of kind %d", kind)
		}
	}
}

func TestPoolsMoveLittle(t *testing.T) {
	list := fleet(60)
	before := labelsOf(listed(t, 1, list))
	for i := range list {
		after, moved := labelsOf(listed(t, 1, slices.Delete(slices.Clone(list), i, i+1))), 0
		for id, l := range after {
			if before[id] != l {
				moved++
			}
		}
		// One leaves each pool that came after at most, and sizes may round anew.
		if moved > 2*len(site().Tenants) {
			t.Errorf("without worker %d, %d others moved", list[i].Worker, moved)
		}
	}
}

func TestTenantsKeepToTheirPools(t *testing.T) {
	c := newChecker(t, site(), 1)
	c.event(Event{Kind: EventList, List: ListFull, Entries: fleet(60)})
	labels := labelsOf(c.d)
	for id := JobID(1); id <= 200; id++ {
		tenant := int(id) % 5
		c.event(Event{Kind: EventJob, Job: id, Tenant: tenant, Slots: 1, Deadline: c.now + time.Second})
		if to := c.jobs[id].sends[0].to.Worker; labels[to] != c.d.pools.labelOfTenant[tenant] {
			t.Errorf("tenant %d: sent to a worker of label %d", tenant, labels[to])
		}
		c.outcome(id, 0, OK)
	}
}

// repositoryRoot is the way from this folder to the root of the repository.
const repositoryRoot = "../.."

// policyFiles are the files that deploy/balancer.toml lists as the policy, by their names in this folder.
func policyFiles(t *testing.T) []string {
	var settings struct{ Policy []string }
	if _, err := toml.DecodeFile(filepath.Join(repositoryRoot, "deploy/balancer.toml"), &settings); err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range settings.Policy {
		name, ok := strings.CutPrefix(path, "internal/decision/")
		if !ok {
			t.Errorf("%s is listed as policy, but is not in internal/decision", path)
		}
		names = append(names, name)
	}
	return names
}

// interfaceFiles are the files that decide nothing: the package's doc comment, the types that the host meets with the
// checks of their values, and the hash.
var interfaceFiles = []string{
	"action.go", "doc.go", "event.go", "hash.go", "load_report.go", "settings.go", "validation.go",
}

// decisionFiles are the names of the package's files, without tests.
func decisionFiles(t *testing.T) []string {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// Every file of the package is listed as policy, but for the interface and the hash.
func TestAllDecisionFilesAreListed(t *testing.T) {
	files := slices.DeleteFunc(decisionFiles(t), func(name string) bool { return slices.Contains(interfaceFiles, name) })
	if listed := slices.Sorted(slices.Values(policyFiles(t))); !slices.Equal(files, listed) {
		t.Errorf("files that decide are %v, listed are %v", files, listed)
	}
}

// TestDecisionsStayReadable holds the width of lines and the length of functions, in the files of the interface, too.
func TestDecisionsStayReadable(t *testing.T) {
	const widest, longest = 110, 45
	for _, name := range decisionFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) == 0 {
			t.Errorf("%s is empty", name)
		}
		n := 0
		for line := range strings.Lines(string(text)) {
			line = strings.TrimSuffix(line, "\n")
			if n++; utf8.RuneCountInString(line) > widest {
				t.Errorf("%s: line %d is %d characters wide, at most %d are allowed", name, n, utf8.RuneCountInString(line), widest)
			}
		}
		files := token.NewFileSet()
		parsed, err := parser.ParseFile(files, name, text, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, declared := range parsed.Decls {
			function, ok := declared.(*ast.FuncDecl)
			if !ok {
				continue
			}
			lines := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
			if lines > longest {
				t.Errorf("%s: %s has %d lines, at most %d are allowed", name, function.Name.Name, lines, longest)
			}
		}
	}
}

// The first hash had poor low bits: with two buckets all tenants of a site fell into the unlabelled one.
func TestHashSpreadsOverBuckets(t *testing.T) {
	for _, n := range []uint64{2, 3, 5, 64} {
		count := make([]int, n)
		for i := range 1000 * n {
			count[hash(i, 1)%n]++
		}
		for b, c := range count {
			if c < 850 || c > 1150 {
				t.Errorf("%d buckets: bucket %d got %d of 1000 expected", n, b, c)
			}
		}
	}
}
