package configuration

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEqualIgnoresOrderAndSpelling(t *testing.T) {
	document := mustParse(t, complete("7"))
	for _, other := range []string{
		complete("7"),
		complete("7.0"),
		complete("70e-1"),
		strings.ReplaceAll(complete("7"), `"r-orders"`, `"r-\u006frders"`),
		strings.ReplaceAll(complete("7"), `600`, `6.00E+2`),
		strings.ReplaceAll(complete("7"), `"rate-per-s":0.0`, `"rate-per-s":-0`),
		configurationOf("7", []string{mailRoute, ordersRoute}, []string{mailerSource, ledgerSource}),
		`{"note":"kept","limits":` + limitsSource + `,"services":[` + ledgerSource + `,` + mailerSource + `],"routes":[` + ordersRoute + `,` + mailRoute + `],"version":7}`,
	} {
		parsed := mustParse(t, other)
		assert.Assert(t, document.Equal(parsed), other)
		assert.Assert(t, parsed.Equal(document), other)
		assert.DeepEqual(t, Diff(document, parsed), []string(nil))
	}
}

func TestEqualDetectsEveryDifference(t *testing.T) {
	document := mustParse(t, complete("7"))
	for _, other := range []string{
		complete("8"),
		strings.ReplaceAll(complete("7"), `600`, `600.0000000000000000001`),
		strings.ReplaceAll(complete("7"), `"callback-url":false`, `"callback-url":true`),
		strings.ReplaceAll(complete("7"), `"callback-url":false,`, ``),
		strings.ReplaceAll(complete("7"), `[1,"]}"]`, `["]}",1]`),
		strings.ReplaceAll(complete("7"), `"kept"`, `null`),
		strings.ReplaceAll(complete("7"), `,"note":"kept"`, ``),
		strings.ReplaceAll(complete("7"), `15100`, `15101`),
		strings.ReplaceAll(complete("7"), `"r-mail"`, `"r-post"`),
		configurationOf("7", []string{mailRoute}, []string{ledgerSource, mailerSource}),
	} {
		parsed := mustParse(t, other)
		assert.Assert(t, !document.Equal(parsed), other)
		assert.Assert(t, !parsed.Equal(document), other)
		assert.Assert(t, len(Diff(document, parsed)) > 0, other)
	}
}

func TestCanonicalNumberComparesExactly(t *testing.T) {
	for _, same := range [][]string{
		{"90", "90.0", "9e1", "9E+1", "0.9e2", "900e-1", "90.000"},
		{"0", "-0", "0.0", "0e5", "-0.00E-7"},
		{"1e99999999999999999999", "1e99999999999999999998"},
		{"-12.5", "-1.25e1", "-125e-1"},
	} {
		for _, text := range same {
			assert.Equal(t, canonicalNumber(text), canonicalNumber(same[0]), text)
		}
	}
	assert.Assert(t, canonicalNumber("1") != canonicalNumber("-1"))
	assert.Assert(t, canonicalNumber("1") != canonicalNumber("10"))
	assert.Assert(t, canonicalNumber("9007199254740993") != canonicalNumber("9007199254740992"))
}

func TestDiffListsEachChangedItem(t *testing.T) {
	before := mustParse(t, complete("7"))
	after := mustUpdate(t, before, `{"version":9,"upsert":{"routes":[`+
		strings.Replace(strings.Replace(ordersRoute, `600`, `700`, 1), `,"callback-url":false`, ``, 1)+
		`],"services":[{"name":"new"}],"limits":{}},"remove":{"routes":["r-mail"]}}`)
	assert.DeepEqual(t, Diff(before, after), []string{
		`limits ` + limitsSource + ` -> {}`,
		`version 7 -> 9`,
		`route "r-mail" removed`,
		`route "r-orders" changed: callback-url removed: false, timeout-ms 600 -> 700`,
		`service "new" added`,
	})
	assert.DeepEqual(t, Diff(nil, mustParse(t, `{"version":1,"routes":[],"services":[{"name":"s"}]}`)), []string{
		`version added: 1`,
		`service "s" added`,
	})
}
