package configuration

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestUpdateKeepsEverythingElse(t *testing.T) {
	document := mustParse(t, complete("7"))
	newRoute := `{"name":"r-new","host":"h","path-prefix":"/","service":"mailer","timeout-ms":5}`
	changedOrders := strings.Replace(ordersRoute, "600", "601.50", 1)
	updated := mustUpdate(t, document,
		`{"version": 9.0,"upsert":{"routes":[`+newRoute+`, `+changedOrders+`]},"remove":{"routes":["r-absent"],"services":["absent"]}}`)

	want := `{"version":9.0,"routes":[` + changedOrders + `,` + mailRoute + `,` + newRoute + `],"services":[` +
		ledgerSource + `,` + mailerSource + `],"limits":` + limitsSource + `,"note":"kept"}`
	assert.Equal(t, string(updated.JSON()), want)
	assert.Equal(t, updated.Version(), uint64(9))
	assert.Equal(t, updated.Table().Version, uint64(9))
	assert.Assert(t, updated.Table().Route("r-new") != nil)
	assert.Equal(t, string(document.JSON()), complete("7"))
	assert.Assert(t, document.Table().Route("r-new") == nil)
	assert.Assert(t, updated.Equal(mustParse(t, want)))
}

func TestUpdateRemovesItems(t *testing.T) {
	document := mustParse(t, complete("7"))
	updated := mustUpdate(t, document, `{"version":8,"remove":{"routes":["r-mail","r-orders"],"services":["mailer"]}}`)
	want := `{"version":8,"routes":[],"services":[` + ledgerSource + `],"limits":` + limitsSource + `,"note":"kept"}`
	assert.Equal(t, string(updated.JSON()), want)
	assert.Equal(t, len(document.Table().Routes()), 2)
}

func TestUpdateReplacesLimits(t *testing.T) {
	const newLimits = `{"max-body-bytes": 10}`
	update := `{"version":8,"upsert":{"limits":` + newLimits + `}}`
	updated := mustUpdate(t, mustParse(t, complete("7")), update)
	assert.Equal(t, updated.Table().Limits.MaxBodyBytes, 10)
	assert.Equal(t, updated.Table().Limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	assert.Assert(t, strings.Contains(string(updated.JSON()), `"limits":`+newLimits))

	withoutLimits := mustParse(t, `{"version":7,"routes":[],"services":[]}`)
	updated = mustUpdate(t, withoutLimits, update)
	assert.Equal(t, string(updated.JSON()), `{"version":8,"routes":[],"services":[],"limits":{"max-body-bytes": 10}}`)
	assert.Equal(t, len(withoutLimits.members), 3)
}

func TestEmptyUpdateChangesOnlyTheVersion(t *testing.T) {
	document := mustParse(t, complete("7"))
	for _, update := range []string{
		`{"version":8}`,
		`{"version":8,"upsert":null,"remove":null}`,
		`{"version":8,"upsert":{"routes":null,"services":null,"limits":null,"later":[1]},"remove":{"routes":null,"later":7}}`,
	} {
		updated := mustUpdate(t, document, update)
		assert.Assert(t, updated.Equal(mustParse(t, complete("8"))))
	}
}

func TestUpdateRemovesItemsThatItAlsoUpserts(t *testing.T) {
	updated := mustUpdate(t, mustParse(t, complete("7")),
		`{"version":8,"upsert":{"routes":[`+mailRoute+`]},"remove":{"routes":["r-mail"]}}`)
	assert.Assert(t, updated.Table().Route("r-mail") == nil)
}

func TestUpdateReportsEveryFinding(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string
	}{
		"syntax":              {`{"version":8,}`, []string{`byte 14: invalid character '}' looking for beginning of object key string`}},
		"not an object":       {`8`, []string{`must be an object`}},
		"version":             {`{}`, []string{`version: must be above 0`}},
		"parts not objects":   {`{"version":8,"upsert":[],"remove":[]}`, []string{`upsert: must be an object`, `remove: must be an object`}},
		"lists not lists":     {`{"version":8,"upsert":{"routes":{},"services":1},"remove":{"routes":"r"}}`, []string{`upsert.routes: must be a list`, `upsert.services: must be a list`, `remove routes: must be a list`}},
		"names not strings":   {`{"version":8,"remove":{"routes":["r",null]}}`, []string{`remove routes[1]: must be a string`}},
		"part twice":          {`{"version":8,"remove":{},"remove":{}}`, []string{`remove: stands twice`}},
		"item":                {`{"version":8,"upsert":{"routes":[{"name":"r-x"}]}}`, []string{`upsert.routes[0] "r-x" host: missing`, `upsert.routes[0] "r-x" path-prefix: missing`, `upsert.routes[0] "r-x" service: missing`, `upsert.routes[0] "r-x" timeout-ms: must be above 0`}},
		"limits":              {`{"version":8,"upsert":{"limits":{"max-body-bytes":"1"}}}`, []string{`upsert.limits max-body-bytes: must be a number`}},
		"name twice":          {`{"version":8,"upsert":{"services":[{"name":"s"},{"name":"s"}]}}`, []string{`upsert.services[1] "s": upsert.services[0] has the same name`}},
		"service still used":  {`{"version":8,"remove":{"services":["ledger"]}}`, []string{`routes[0] "r-orders" service: "ledger" is unknown`}},
		"host and prefix":     {`{"version":8,"upsert":{"routes":[{"name":"r-x","host":"SHOP.example","path-prefix":"/mail","service":"ledger","timeout-ms":1}]}}`, []string{`routes[2] "r-x": routes[1] "r-mail" has the same host and path-prefix`}},
		"unknown new service": {`{"version":8,"upsert":{"routes":[{"name":"r-x","host":"h","path-prefix":"/mail","service":"none","timeout-ms":1}]}}`, []string{`routes[2] "r-x" service: "none" is unknown`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			updated, err := mustParse(t, complete("7")).Update([]byte(test.text))
			assert.Assert(t, updated == nil)
			assert.DeepEqual(t, findingsOf(t, err), test.want)
		})
	}
}

func TestHostAndPrefixMayMoveToAnotherRoute(t *testing.T) {
	moved := strings.Replace(mailRoute, "r-mail", "r-post", 1)
	updated := mustUpdate(t, mustParse(t, complete("7")), `{"version":8,"upsert":{"routes":[`+moved+`]},"remove":{"routes":["r-mail"]}}`)
	assert.Equal(t, updated.Table().Match("shop.example", "/mail/1").Name, "r-post")
}

func FuzzUpdate(f *testing.F) {
	f.Add(`{"version":9,"upsert":{"routes":[` + ordersRoute + `]},"remove":{"routes":["r-mail"]}}`)
	f.Add(`{"version":9,"upsert":{"limits":{},"services":[{"name":"\u006cedger"}]}}`)
	document := mustParse(f, complete("7"))
	f.Fuzz(func(t *testing.T, text string) {
		updated, err := document.Update([]byte(text))
		assert.Assert(t, (updated == nil) != (err == nil))
		assert.Equal(t, string(document.JSON()), complete("7"))
		if err != nil {
			assert.Assert(t, len(findingsOf(t, err)) > 0)
			return
		}
		reread := mustParse(t, string(updated.JSON()))
		assert.Assert(t, reread.Equal(updated))
		assert.Equal(t, reread.Version(), updated.Version())
		assert.DeepEqual(t, reread.Table().Routes(), updated.Table().Routes())
		assert.DeepEqual(t, reread.Table().Services(), updated.Table().Services())
		assert.Equal(t, reread.Table().Limits, updated.Table().Limits)
	})
}
