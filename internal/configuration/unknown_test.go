package configuration

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestUnknownMembersAreReportedWithTheirPaths(t *testing.T) {
	cases := map[string]struct {
		text string
		want Findings
	}{
		"none":                        {text: configurationOf("1", []string{ordersRoute}, []string{ledgerSource, mailerSource}), want: Findings{{"note", notRead}}},
		"of a route":                  {text: complete("1"), want: Findings{{`routes[1] "r-mail" extra`, notRead}, {"note", notRead}}},
		"at the top":                  {text: `{"version":1,"routes":[],"services":[],"servces":[{"nme":"x"}]}`, want: Findings{{"servces", notRead}}},
		"of a service":                {text: `{"version":1,"services":[{"name":"s","rate":3}],"routes":[]}`, want: Findings{{`services[0] "s" rate`, notRead}}},
		"of limits":                   {text: `{"limits":{"max-body":1,"max-body-bytes":2}}`, want: Findings{{"limits max-body", notRead}}},
		"of an object without a name": {text: `{"routes":[{"nme":"r"}]}`, want: Findings{{"routes[0] nme", notRead}}},
		"not an object":               {text: `[]`},
		"no JSON":                     {text: `{"version":1,"servces":[`},
		"of another type":             {text: `{"routes":7,"limits":null,"services":["s"]}`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, UnknownMembers([]byte(test.text)), test.want)
		})
	}
}

func TestUnknownMembersOfAnUpdateAreReported(t *testing.T) {
	text := `{"version":2,"upset":{},"upsert":{"routes":[{"name":"r","hst":"h"}],"limit":{}},"remove":{"route":["x"],"services":["y"]}}`
	assert.DeepEqual(t, UnknownUpdateMembers([]byte(text)), Findings{
		{"upset", notRead},
		{"remove route", notRead},
		{`upsert.routes[0] "r" hst`, notRead},
		{"upsert.limit", notRead},
	})
	assert.DeepEqual(t, UnknownUpdateMembers([]byte(`{"version":2,"remove":{"routes":["x"]}}`)), Findings(nil))
	assert.DeepEqual(t, UnknownUpdateMembers([]byte(`{"upset":`)), Findings(nil))
}
