package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// The golden files under testdata hold configurations, updates and what is read from them. Every later version must
// return the same bytes and findings. The flag -update writes them; never edit them by hand.

// goldenUpdate adds, replaces and removes routes and services, and replaces the limits.
const goldenUpdate = `{"version": 9.0,
	"upsert":{"routes":[
		{"name":"r-new","host":"[::1]:80","path-prefix":"/","service":"added","timeout-ms":0.25, "later":[1,"}"]},
		{"name":"r-orders","host":"shop.EXAMPLE","path-prefix":"/orders/","service":"ledger","timeout-ms":601.50}],
		"services":[{"name":"added","rate-per-s":6.5,"health-check":"/ok"}],
		"limits":{"max-body-bytes": 10,"idle-timeout-ms":2.5}},
	"remove":{"routes":["r-mail","r-absent"],"services":["mailer"]}}`

// tableByField returns all values of a table under the field names of the operator's API. Durations are in nanoseconds.
func tableByField(table *Table) map[string]any {
	routes := []any{}
	for _, route := range table.Routes() {
		routes = append(routes, map[string]any{
			"name":              route.Name,
			"host":              route.Host,
			"path-prefix":       route.PathPrefix,
			"service":           route.Service,
			"route-type":        route.Type,
			"timeout-ms":        route.Timeout,
			"target-latency-ms": route.LatencyTarget,
			"target-start-ms":   route.StartTarget,
			"retention-s":       route.Retention,
			"priority":          route.Priority,
			"max-attempts":      route.MaxAttempts,
			"ordered":           route.Ordered,
		})
	}
	services := []any{}
	for _, service := range table.Services() {
		services = append(services, map[string]any{
			"name":            service.Name,
			"health-check":    service.HealthCheck,
			"protocol":        service.Protocol,
			"static-endpoint": service.StaticEndpoint,
			"max-connections": service.MaxConnections,
			"rate-per-s":      service.RateLimitPerSecond,
			"dedup":           service.Deduplicates,
		})
	}
	return map[string]any{
		"version":  table.Version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max-header-bytes":  table.Limits.MaxHeaderBytes,
			"max-body-bytes":    table.Limits.MaxBodyBytes,
			"header-timeout-ms": table.Limits.HeaderTimeout,
			"idle-timeout-ms":   table.Limits.IdleTimeout,
		},
	}
}

func assertGoldenTable(t *testing.T, table *Table, file string) {
	t.Helper()
	encoded, err := json.MarshalIndent(tableByField(table), "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(encoded)+"\n", file)
}

func TestGoldenDocument(t *testing.T) {
	golden.AssertBytes(t, []byte(complete("7")), "complete.json")
	golden.AssertBytes(t, []byte(goldenUpdate), "update.json")

	document, err := Parse(golden.Get(t, "complete.json"))
	assert.NilError(t, err)
	golden.AssertBytes(t, document.JSON(), "complete.json")
	assertGoldenTable(t, document.Table(), "complete.table.json")

	updated, err := document.Update(golden.Get(t, "update.json"))
	assert.NilError(t, err)
	golden.AssertBytes(t, updated.JSON(), "updated.json")
	assertGoldenTable(t, updated.Table(), "updated.table.json")
	golden.Assert(t, strings.Join(Diff(document, updated), "\n")+"\n", "updated.diff.txt")

	reread, err := Parse(golden.Get(t, "updated.json"))
	assert.NilError(t, err)
	golden.AssertBytes(t, reread.JSON(), "updated.json")
	assert.Assert(t, reread.Equal(updated))
}

// invalidConfigurations are texts that Parse rejects.
func invalidConfigurations() []string {
	return []string{
		``,
		`{"version":1,"routes":[`,
		`{"version":1,"routes":[],"services":[]} x`,
		"{\"version\":1,\"routes\":[],\"services\":[],\"a\":\"\xff\"}",
		`[]`,
		`{}`,
		`{"version":"1","routes":null,"services":{},"limits":[]}`,
		`{"version":1.5,"routes":[],"services":[]}`,
		`{"version":-1,"routes":[],"services":[]}`,
		`{"version":1,"version":2,"routes":[],"routes":[],"services":[]}`,
		`{"version":1,"routes":[],"services":[],"limits":{"max-body-bytes":-1,"idle-timeout-ms":"5"}}`,
		`{"version":1,"routes":[],"services":[],"limits":{"max-body-bytes":-1,"idle-timeout-ms":-5}}`,
		configurationOf("1", []string{`7`, `{}`, `{"name":7}`}, []string{`null`, `{}`, `{"name":"s","name":"s"}`}),
		routeWith(`"timeout-ms":0,"max-attempts":0.5`),
		routeWith(`"timeout-ms":"600","ordered":1,"host":{}`),
		routeWith(`"timeout-ms":1,"priority":-1,"retention-s":-0.5`),
		routeWith(`"timeout-ms":1e999`),
		configurationOf("1", []string{`{"name":"r","host":"h","path-prefix":"p","service":"s","timeout-ms":1}`}, nil),
		configurationOf("1", nil, []string{
			`{"name":"s","static-endpoint":"host"}`, `{"name":"s","static-endpoint":":80"}`, `{"name":"s","static-endpoint":"h:99999"}`,
		}),
		configurationOf("1", []string{
			`{"name":"a","host":"H.example","path-prefix":"/p","service":"s","timeout-ms":1}`,
			`{"name":"b","host":"h.EXAMPLE","path-prefix":"/p","service":"s","timeout-ms":1}`,
			`{"name":"a","host":"h.example","path-prefix":"/q","service":"absent","timeout-ms":1}`,
		}, []string{`{"name":"s"}`, `{"name":"s"}`}),
	}
}

// invalidUpdates are texts that Update rejects for the document of complete.
func invalidUpdates() []string {
	return []string{
		`{"version":8,}`,
		`8`,
		`{}`,
		`{"version":8,"upsert":[],"remove":[]}`,
		`{"version":8,"upsert":{"routes":{},"services":1,"limits":2},"remove":{"routes":"r"}}`,
		`{"version":8,"remove":{"routes":["r",null]}}`,
		`{"version":8,"remove":{},"remove":{},"upsert":{"routes":[],"routes":[]}}`,
		`{"version":8,"upsert":{"routes":[{"name":"r-x"}],"services":[{"name":"s"},{"name":"s"},[]],"limits":{"max-body-bytes":"1"}}}`,
		`{"version":8,"remove":{"services":["ledger"]}}`,
		`{"version":8,"upsert":{"routes":[{"name":"r-x","host":"SHOP.example","path-prefix":"/mail","service":"none","timeout-ms":1}]}}`,
	}
}

func TestGoldenFindings(t *testing.T) {
	var report strings.Builder
	for _, text := range invalidConfigurations() {
		_, err := Parse([]byte(text))
		reportFindings(t, &report, "configuration", text, err)
	}
	document := mustParse(t, complete("7"))
	for _, text := range invalidUpdates() {
		_, err := document.Update([]byte(text))
		reportFindings(t, &report, "update", text, err)
	}
	var none *Document
	_, err := none.Update([]byte(`{"version":1}`))
	reportFindings(t, &report, "update of nothing", "", err)
	golden.Assert(t, report.String(), "findings.txt")
}

// reportFindings writes a text and each of its findings to the report.
func reportFindings(t *testing.T, report *strings.Builder, kind, text string, err error) {
	t.Helper()
	var findings Findings
	assert.Assert(t, errors.As(err, &findings), "%v", err)
	fmt.Fprintf(report, "%s %q\n", kind, text)
	for _, finding := range findings {
		fmt.Fprintf(report, "    place %q, problem %q, text %q\n", finding.Path, finding.Problem, finding.String())
	}
}
