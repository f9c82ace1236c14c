package configuration

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseReadsEveryField(t *testing.T) {
	text := complete("7")
	document := mustParse(t, text)
	assert.Equal(t, document.Version(), uint64(7))
	assert.Equal(t, string(document.JSON()), text)

	table := document.Table()
	assert.Equal(t, table.Version, uint64(7))
	assert.DeepEqual(t, table.Limits, Limits{1024, 2048, 3100 * time.Millisecond, 15100 * time.Millisecond})
	assert.DeepEqual(t, table.Routes(), []*Route{
		{
			Name: "r-mail", Host: "shop.example", PathPrefix: "/mail", Service: "mailer", Type: "async",
			Timeout: 1200 * time.Millisecond, Retention: defaultRetention, MaxAttempts: 1,
		},
		{
			Name: "r-orders", Host: "Shop.example", PathPrefix: "/orders/", Service: "ledger", Type: "async",
			Timeout: 600 * time.Millisecond, LatencyTarget: 80 * time.Millisecond, StartTarget: 700 * time.Millisecond,
			Retention: 45 * time.Second, Priority: 1, MaxAttempts: 6, Ordered: true,
		},
	})
	assert.DeepEqual(t, table.Services(), []*Service{
		{Name: "ledger", HealthCheck: "/health", Protocol: "h1", MaxConnections: 130, Deduplicates: true},
		{Name: "mailer", Protocol: "h1", StaticEndpoint: "127.0.0.3:8043", MaxConnections: 26, RateLimitPerSecond: 39.5},
	})
}

func TestParseDoesNotKeepTheCallersBytes(t *testing.T) {
	text := []byte(complete("7"))
	document, err := Parse(text)
	assert.NilError(t, err)
	clear(text)
	assert.Equal(t, string(document.JSON()), complete("7"))
}

func TestAbsentLimitsTakeTheirDefaults(t *testing.T) {
	for _, limits := range []string{"", `,"limits":null`, `,"limits":{}`, `,"limits":{"max-body-bytes":0}`} {
		document := mustParse(t, `{"version":1,"routes":[],"services":[]`+limits+`}`)
		assert.DeepEqual(t, document.Table().Limits,
			Limits{defaultMaxHeaderBytes, defaultMaxBodyBytes, defaultHeaderTimeout, defaultIdleTimeout})
	}
}

func TestParseAcceptsEveryValidForm(t *testing.T) {
	for _, text := range []string{
		`{"version":1.0,"routes":[],"services":[]}`,
		`{"version":1e2,"routes":[],"services":[]}`,
		`{"version":18446744073709551615,"routes":[],"services":[]}`,
		"\n{ \"services\" : [ ] , \"routes\" : [ ] , \"version\" : 1 }\n",
		`{"\u0076ersion":1,"routes":[],"services":[],"unknown":{"version":[{}]}}`,
		configurationOf("1", []string{`{"name":"a","host":"h","path-prefix":"/","service":"s","timeout-ms":0.5,"priority":2.0,"max-attempts":null}`}, []string{`{"name":"s","static-endpoint":""}`}),
		configurationOf("1", []string{`{"name":"s","host":"h","path-prefix":"/a","service":"s","timeout-ms":1}`, `{"name":"t","host":"h","path-prefix":"/a/","service":"s","timeout-ms":1}`}, []string{`{"name":"s"}`}),
	} {
		mustParse(t, text)
	}
}

func TestParseReportsEveryFinding(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty":              {``, []string{`byte 0: unexpected end of JSON input`}},
		"truncated":          {`{"version":1,"routes":[`, []string{`byte 23: unexpected end of JSON input`}},
		"trailing":           {`{"version":1,"routes":[],"services":[]} x`, []string{`byte 41: invalid character 'x' after top-level value`}},
		"not UTF-8":          {"{\"version\":1,\"routes\":[],\"services\":[],\"a\":\"\xff\"}", []string{`not valid UTF-8`}},
		"not an object":      {`[]`, []string{`must be an object`}},
		"lists missing":      {`{"version":1}`, []string{`routes: must be a list`, `services: must be a list`}},
		"lists null":         {`{"version":1,"routes":null,"services":{}}`, []string{`routes: must be a list`, `services: must be a list`}},
		"version missing":    {`{"routes":[],"services":[]}`, []string{`version: must be above 0`}},
		"version 0":          {`{"version":0,"routes":[],"services":[]}`, []string{`version: must be above 0`}},
		"version as string":  {`{"version":"1","routes":[],"services":[]}`, []string{`version: must be a number`}},
		"version twice":      {`{"version":1,"version":2,"routes":[],"services":[]}`, []string{`version: stands twice`}},
		"limits not object":  {`{"version":1,"routes":[],"services":[],"limits":[]}`, []string{`limits: must be an object`}},
		"limits negative":    {`{"version":1,"routes":[],"services":[],"limits":{"max-body-bytes":-1}}`, []string{`limits max-body-bytes: must not be negative`}},
		"route not object":   {configurationOf("1", []string{`7`}, nil), []string{`routes[0]: must be an object`}},
		"timeout missing":    {routeWith(`"priority":1`), []string{`routes[0] "r-x" timeout-ms: must be above 0`}},
		"timeout 0":          {routeWith(`"timeout-ms":0`), []string{`routes[0] "r-x" timeout-ms: must be above 0`}},
		"timeout 0.0":        {routeWith(`"timeout-ms":0.0`), []string{`routes[0] "r-x" timeout-ms: must be above 0`}},
		"timeout null":       {routeWith(`"timeout-ms":null`), []string{`routes[0] "r-x" timeout-ms: must be above 0`}},
		"timeout as string":  {routeWith(`"timeout-ms":"600"`), []string{`routes[0] "r-x" timeout-ms: must be a number`}},
		"timeout NaN":        {routeWith(`"timeout-ms":"NaN"`), []string{`routes[0] "r-x" timeout-ms: must be a number`}},
		"attempts 0":         {routeWith(`"timeout-ms":1,"max-attempts":0`), []string{`routes[0] "r-x" max-attempts: must be at least 1`}},
		"figures negative":   {routeWith(`"timeout-ms":1,"priority":-1,"retention-s":-0.5`), []string{`routes[0] "r-x" retention-s: must not be negative`, `routes[0] "r-x" priority: must not be negative`}},
		"ordered not a bool": {routeWith(`"timeout-ms":1,"ordered":1`), []string{`routes[0] "r-x" ordered: must be true or false`}},
		"prefix":             {configurationOf("1", []string{`{"name":"r","host":"h","path-prefix":"p","service":"s","timeout-ms":1}`}, []string{serviceSource}), []string{`routes[0] "r" path-prefix: must begin with /`}},
		"route empty": {configurationOf("1", []string{`{}`}, []string{serviceSource}), []string{
			`routes[0] name: missing`, `routes[0] host: missing`, `routes[0] path-prefix: missing`, `routes[0] service: missing`,
			`routes[0] timeout-ms: must be above 0`,
		}},
		"service without name": {configurationOf("1", nil, []string{`{}`}), []string{`services[0] name: missing`}},
		"endpoint no port":     {serviceWith(`"static-endpoint":"host"`), []string{`services[0] "s" static-endpoint: must be host:port`}},
		"endpoint no host":     {serviceWith(`"static-endpoint":":80"`), []string{`services[0] "s" static-endpoint: must be host:port`}},
		"endpoint bad port":    {serviceWith(`"static-endpoint":"h:99999"`), []string{`services[0] "s" static-endpoint: must be host:port`}},
		"names shared": {configurationOf("1", nil, []string{serviceSource, serviceSource}), []string{
			`services[1] "s": services[0] has the same name`,
		}},
		"between items": {
			configurationOf("1", []string{
				`{"name":"a","host":"H.example","path-prefix":"/p","service":"s","timeout-ms":1}`,
				`{"name":"b","host":"h.EXAMPLE","path-prefix":"/p","service":"s","timeout-ms":1}`,
				`{"name":"a","host":"h.example","path-prefix":"/q","service":"absent","timeout-ms":1}`,
			}, []string{serviceSource}),
			[]string{
				`routes[2] "a": routes[0] has the same name`,
				`routes[2] "a" service: "absent" is unknown`,
				`routes[1] "b": routes[0] "a" has the same host and path-prefix`,
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			document, err := Parse([]byte(test.text))
			assert.Assert(t, document == nil)
			assert.DeepEqual(t, findingsOf(t, err), test.want)
		})
	}
}

func TestParseRejectsDuplicateFields(t *testing.T) {
	_, err := Parse([]byte(configurationOf("1", nil, []string{`{"name":"s","name":"s"}`})))
	assert.ErrorContains(t, err, `services[0] "s": `)
	assert.ErrorContains(t, err, `duplicate field "name"`)
}

func TestParseRejectsVersionsOutsideUint64(t *testing.T) {
	for _, version := range []string{"1.5", "-1", "18446744073709551616"} {
		_, err := Parse([]byte(`{"version":` + version + `,"routes":[],"services":[]}`))
		assert.Equal(t, len(findingsOf(t, err)), 1)
	}
}

func TestErrorTextIsTruncated(t *testing.T) {
	services := make([]string, 100)
	for i := range services {
		services[i] = `{}`
	}
	_, err := Parse([]byte(configurationOf("1", nil, services)))
	assert.Equal(t, len(findingsOf(t, err)), 100)
	assert.Equal(t, strings.Count(err.Error(), "\n"), maxFindingsInText)
	assert.Assert(t, strings.HasSuffix(err.Error(), "\nand 50 more"))
}

func TestCheckVersionRequiresAHigherVersion(t *testing.T) {
	assert.NilError(t, CheckVersion(3, 2))
	assert.Error(t, CheckVersion(2, 2), "version: 2 is not above the current version 2")
	assert.ErrorType(t, CheckVersion(1, 2), &VersionError{})
}

func TestParseAfterReusesUnchangedItems(t *testing.T) {
	previous := mustParse(t, complete("7"))
	changedMail := strings.Replace(mailRoute, "1.2e3", "5", 1)
	next, err := ParseAfter(previous, []byte(configurationOf("8", []string{changedMail, ordersRoute}, []string{ledgerSource, mailerSource})))
	assert.NilError(t, err)
	before, after := previous.Table(), next.Table()
	assert.Assert(t, after.Route("r-orders") == before.Route("r-orders"))
	assert.Assert(t, after.Service("ledger") == before.Service("ledger"))
	assert.Equal(t, after.Route("r-mail").Timeout, 5*time.Millisecond)
	assert.Equal(t, before.Route("r-mail").Timeout, 1200*time.Millisecond)
}

func TestNilDocumentIsEmpty(t *testing.T) {
	var document *Document
	assert.Equal(t, document.Version(), uint64(0))
	assert.Assert(t, document.JSON() == nil)
	assert.Assert(t, document.Table().Match("h", "/") == nil)
	assert.Equal(t, document.Table().Limits.MaxBodyBytes, defaultMaxBodyBytes)
	assert.Assert(t, document.Equal(nil))
	assert.Assert(t, !document.Equal(mustParse(t, complete("1"))))
	_, err := document.Update([]byte(`{"version":1}`))
	assert.DeepEqual(t, findingsOf(t, err), []string{"no configuration to update"})
}

func TestExtremeNumbersSaturate(t *testing.T) {
	route := `{"name":"r","host":"h","path-prefix":"/","service":"s","timeout-ms":1e300,"max-attempts":1e300,"retention-s":1e-300}`
	document := mustParse(t, configurationOf("1", []string{route}, []string{`{"name":"s"}`}))
	read := document.Table().Route("r")
	assert.Equal(t, read.Timeout, time.Duration(math.MaxInt64))
	assert.Equal(t, read.MaxAttempts, math.MaxInt32)
	assert.Equal(t, read.Retention, time.Duration(1))
}

func FuzzParse(f *testing.F) {
	f.Add(complete("7"))
	f.Add(`{"version":1,"routes":[],"services":[]}`)
	f.Add(`{"version":1,"routes":[{"name":"\u0061\\","x":"}"}],"services":[[]],"limits":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		document, err := Parse([]byte(text))
		assert.Assert(t, (document == nil) != (err == nil))
		if err != nil {
			assert.Assert(t, len(findingsOf(t, err)) > 0)
			return
		}
		assert.Assert(t, document.Version() > 0)
		assert.Equal(t, string(document.JSON()), text)
		again, err := ParseAfter(document, []byte(text))
		assert.NilError(t, err)
		assert.Assert(t, again.Equal(document))
		assert.DeepEqual(t, again.Table().Routes(), document.Table().Routes())
		assert.Equal(t, len(Diff(document, again)), 0)
		for _, route := range document.Table().Routes() {
			assert.Assert(t, route.Timeout > 0)
			assert.Assert(t, document.Table().Service(route.Service) != nil)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	text := []byte(largeConfiguration(1000))
	previous := mustParse(b, string(text))
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_, _ = Parse(text)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			_, _ = ParseAfter(previous, text)
		}
	})
}

// largeConfiguration returns a configuration with the given number of routes, all on one host.
func largeConfiguration(routes int) string {
	var sources []string
	for i := range routes {
		source := strings.Replace(ordersRoute, "r-orders", fmt.Sprintf("r-%d", i), 1)
		sources = append(sources, strings.Replace(source, "/orders/", fmt.Sprintf("/orders/%d/", i), 1))
	}
	return configurationOf("1", sources, []string{ledgerSource})
}
