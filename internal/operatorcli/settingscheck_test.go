package operatorcli

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSettingsCheckRejectsInvalidFile(t *testing.T) {
	good := writeFile(t, "good.toml", "node = \"store-1\"\nclass = \"store\"\nip = \"10.0.0.1\"\nzone = \"a\"\ninternal-ports = [1, 2]\n")
	out, err := runCommand(t, "settings", "check", good)
	assert.NilError(t, err)
	assert.Equal(t, out, good+" is valid: store-1, class store in zone a\n")

	bad := writeFile(t, "bad.toml", "node = \"store-1\"\ninternal-ports = [1, 2]\n")
	_, err = runCommand(t, "settings", "check", bad)
	assert.Equal(t, ExitCode(err), ExitRefused)
	assert.Error(t, err, bad+" is invalid:\n"+bad+": ip: missing\n"+bad+": zone: missing")

	_, err = runCommand(t, "settings", "check", bad+".missing")
	assert.Equal(t, ExitCode(err), ExitFailed)
}
