package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatchChoosesTheLongestPrefix(t *testing.T) {
	sources := []string{}
	for i, prefix := range []string{"/", "/a", "/a/", "/a/b/c", "/ab", "/b/"} {
		sources = append(sources, fmt.Sprintf(`{"name":"r%d","host":"One.example","path-prefix":%q,"service":"s","timeout-ms":1}`, i, prefix))
	}
	sources = append(sources, `{"name":"v6","host":"[::1]","path-prefix":"/six","service":"s","timeout-ms":1}`)
	table := mustParse(t, configurationOf("1", sources, []string{`{"name":"s"}`})).Table()

	tests := []struct{ host, path, want string }{
		{"one.example", "/", "/"},
		{"ONE.EXAMPLE:8080", "/a", "/a"},
		{"one.example", "/a/", "/a/"},
		{"one.example", "/a/b/", "/a/"},
		{"one.example", "/a/b/c", "/a/b/c"},
		{"one.example", "/a/b/cd", "/a/b/c"},
		{"one.example", "/a/z", "/a/"},
		{"one.example", "/aa", "/a"},
		{"one.example", "/abc", "/ab"},
		{"one.example", "/b", "/"},
		{"one.example", "", ""},
		{"one.example", "*", ""},
		{"two.example", "/", ""},
		{"", "/", ""},
		{"[::1]", "/six", "/six"},
		{"[::1]:80", "/six", "/six"},
		{"[::1]:80", "/seven", ""},
	}
	for _, test := range tests {
		got := ""
		if route := table.Match(test.host, test.path); route != nil {
			got = route.PathPrefix
		}
		assert.Equal(t, got, test.want, "%s %s", test.host, test.path)
	}
}

// TestMatchAgreesWithLinearSearch compares Match with a linear search on random path prefixes. The prefixes use few
// characters, so that many are prefixes of others.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	text := func(length int) string {
		var built strings.Builder
		built.WriteByte('/')
		for range random.IntN(length) {
			built.WriteByte("ab/"[random.IntN(3)])
		}
		return built.String()
	}
	for range 50 {
		prefixes := map[string]bool{}
		for range random.IntN(40) {
			prefixes[text(6)] = true
		}
		var sources []string
		for prefix := range prefixes {
			sources = append(sources, fmt.Sprintf(`{"name":%q,"host":"h","path-prefix":%q,"service":"s","timeout-ms":1}`, prefix, prefix))
		}
		table := mustParse(t, configurationOf("1", sources, []string{`{"name":"s"}`})).Table()
		for range 200 {
			path := text(9)
			assert.Equal(t, table.Match("h", path), longestPrefix(table, path), path)
		}
	}
}

// longestPrefix returns the route with the longest path prefix of the path by a linear search.
func longestPrefix(table *Table, path string) *Route {
	var longest *Route
	for _, route := range table.Routes() {
		if strings.HasPrefix(path, route.PathPrefix) && (longest == nil || len(route.PathPrefix) > len(longest.PathPrefix)) {
			longest = route
		}
	}
	return longest
}

func TestMatchDoesNotAllocate(t *testing.T) {
	table := mustParse(t, largeConfiguration(500)).Table()
	allocations := testing.AllocsPerRun(100, func() {
		if table.Match("shop.example:80", "/orders/250/17") == nil {
			t.Error("Match found no route for /orders/250/17")
		}
	})
	assert.Equal(t, allocations, 0.0)
}

func TestLookUpsByName(t *testing.T) {
	table := mustParse(t, complete("7")).Table()
	assert.Equal(t, table.Route("r-mail").Service, "mailer")
	assert.Equal(t, table.Service("ledger").Name, "ledger")
	assert.Assert(t, table.Route("ledger") == nil)
	assert.Assert(t, table.Service("r-mail") == nil)

	var none *Table
	assert.Assert(t, none.Match("h", "/") == nil)
	assert.Assert(t, none.Route("r") == nil)
	assert.Assert(t, none.Service("s") == nil)
	assert.Equal(t, len(none.Routes())+len(none.Services()), 0)
}

func BenchmarkMatch(b *testing.B) {
	table := mustParse(b, largeConfiguration(3000)).Table()
	for b.Loop() {
		table.Match("shop.example:80", "/orders/250/17")
	}
}
