package programname

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWarnIfFormer(t *testing.T) {
	for _, test := range []struct {
		name, started, want string
	}{
		{"former name", "bin/old", "old: this program is now called new; the former name goes on working\n"},
		{"current name", "bin/new", ""},
		{"no path", "old", "old: this program is now called new; the former name goes on working\n"},
		{"directory of that name", "old/new", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out strings.Builder
			WarnIfFormer(&out, test.started, "old", "new")
			assert.Equal(t, out.String(), test.want)
		})
	}
}
