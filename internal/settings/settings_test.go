package settings

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
)

// everyKey holds all keys, each with a value that is not its default.
const everyKey = `
node = "store-7"
role = "keeper"
class = "store"
serves = ["store", "control"]
ip = "127.0.7.1"
zone = "north"
region = "upland"
internal-ports = [9100, 9115]
seeds = ["127.0.1.1:9000", "127.0.2.1:9000"]
bootstrap = true
counts-for-quorum = true
data-dir = "/data/keeper"
discovery = "list"
entry = "address"
heartbeat-ms = 750
contracts = ["first", "second"]
a-later-key = { nested = [1, 2] }

[zones]
north = "upland"
south = "lowland"

[listen-addrs]
front = "127.0.7.1:8001"
ready = "127.0.7.1:8002"
control = "127.0.7.1:8003"

[limits]
cpu-share = 0.5
cores = 2
memory-mb = 300
max-fds = 2000
link-mbps = 250.5
disk-mb = 32

[fault-tolerance]
machines = 2
zones = 1
regions = 3

[bounds]
seed-lag-s = 1.5
reuse-after-s = 4
contact-ms = 11
ack-ms = 12
catch-up-s = 6.25
drain-ms = 13
grace-s = 7
loss-slack-ms = 14
config-apply-ms = 15
revert-slack-ms = 16
max-skew-ms = 17
recovery-s = 18
finish-s = 19
status-s = 21
callback-s = 22
visibility-ms = 23
early-ms = 24.5
ceiling-window-s = 25
ceiling-overshoot = 1.25
a-later-bound = true

[cloud]
address = "127.0.9.1:80"
rate-per-s = 33.5
duties = ["one"]
lag-ms = 900
`

// requiredKeys holds only the required keys.
const requiredKeys = `
node = "n"
ip = "127.0.0.1"
zone = "z"
internal-ports = [1, 2]
`

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadReadsEveryKey(t *testing.T) {
	loaded, err := Load(writeSettings(t, everyKey))
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, &Settings{
		Node:              "store-7",
		Role:              "keeper",
		Class:             "store",
		Serves:            []string{"store", "control"},
		IP:                "127.0.7.1",
		Zone:              "north",
		Region:            "upland",
		InternalPorts:     PortRange{First: 9100, Last: 9115},
		Seeds:             []string{"127.0.1.1:9000", "127.0.2.1:9000"},
		Bootstrap:         true,
		CountsForQuorum:   true,
		DataDir:           "/data/keeper",
		Discovery:         "list",
		Entry:             "address",
		HeartbeatInterval: 750 * time.Millisecond,
		Contracts:         []string{"first", "second"},
		Zones:             map[string]string{"north": "upland", "south": "lowland"},
		ListenAddresses:   ListenAddresses{Front: "127.0.7.1:8001", Ready: "127.0.7.1:8002", Control: "127.0.7.1:8003"},
		Limits:            Limits{CPUShare: 0.5, Cores: 2, MemoryMB: 300, MaxFDs: 2000, LinkMbps: 250.5, DiskMB: 32},
		FaultTolerance:    FaultTolerance{Machines: 2, Zones: 1, Regions: 3},
		Bounds: Bounds{
			SeedLag:            1500 * time.Millisecond,
			ReuseAfter:         4 * time.Second,
			Contact:            11 * time.Millisecond,
			Acknowledge:        12 * time.Millisecond,
			CatchUp:            6250 * time.Millisecond,
			Drain:              13 * time.Millisecond,
			Grace:              7 * time.Second,
			LossSlack:          14 * time.Millisecond,
			ConfigurationLag:   15 * time.Millisecond,
			RevertSlack:        16 * time.Millisecond,
			MaxSkew:            17 * time.Millisecond,
			Recovery:           18 * time.Second,
			Finish:             19 * time.Second,
			Status:             21 * time.Second,
			Callback:           22 * time.Second,
			Visibility:         23 * time.Millisecond,
			Early:              24500 * time.Microsecond,
			RateLimitWindow:    25 * time.Second,
			RateLimitOvershoot: 1.25,
		},
		Cloud: Cloud{Address: "127.0.9.1:80", RatePerSecond: 33.5, Duties: []string{"one"}, Lag: 900 * time.Millisecond},
	})
	assert.Assert(t, loaded.ServesParty(ServesStore))
	assert.Assert(t, !loaded.ServesParty(ServesFront))
	assert.Assert(t, loaded.HasContract("second"))
	assert.Assert(t, !loaded.HasContract("third"))
}

func TestAbsentKeysTakeTheirDefaults(t *testing.T) {
	loaded, err := Parse("file", []byte(requiredKeys))
	assert.NilError(t, err)
	assert.Equal(t, loaded.HeartbeatInterval, defaultHeartbeatInterval)
	assert.Equal(t, loaded.Bounds.Status, defaultStatus)
	assert.Equal(t, loaded.Bounds.RateLimitOvershoot, float64(defaultRateLimitOvershoot))
	assert.Equal(t, loaded.Limits.MemoryMB, defaultMemoryMB)
	assert.Equal(t, loaded.ListenAddresses, ListenAddresses{})
	assert.Equal(t, loaded.Cloud.Lag, defaultCloudLag)
	assert.Equal(t, loaded.DataDir, "")
}

func TestEmptyKeysCountAsAbsent(t *testing.T) {
	empty := requiredKeys + `
seeds = ""
bootstrap = ""
heartbeat-ms = ""
serves = []
contracts = ""
data-dir = []
zones = ""
limits = ""
[bounds]
status-s = ""
early-ms = []
`
	loaded, err := Parse("file", []byte(empty))
	assert.NilError(t, err)
	plain, err := Parse("file", []byte(requiredKeys))
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, plain)
}

func TestZeroIsNotAbsent(t *testing.T) {
	loaded, err := Parse("file", []byte(requiredKeys+"[bounds]\nstatus-s = 0\n"))
	assert.NilError(t, err)
	assert.Equal(t, loaded.Bounds.Status, time.Duration(0))
}

func TestAbsentRegionIsTakenFromTheZone(t *testing.T) {
	loaded, err := Parse("file", []byte(requiredKeys+"[zones]\nz = \"west\"\n"))
	assert.NilError(t, err)
	assert.Equal(t, loaded.Region, "west")
}

func TestParseReportsEveryFinding(t *testing.T) {
	_, err := Parse("some.toml", []byte(`
node = 3
internal-ports = [9, 8]
seeds = ["a", 1]
bootstrap = "yes"
heartbeat-ms = -1
[bounds]
grace-s = "soon"
finish-s = nan
`))
	var findings Findings
	assert.Assert(t, errors.As(err, &findings))
	assert.DeepEqual(t, findings, Findings{
		{"some.toml", "node", "must be a string, is 3"},
		{"some.toml", "seeds", "must be a list of strings, is [a 1]"},
		{"some.toml", "bootstrap", "must be true or false, is yes"},
		{"some.toml", "heartbeat-ms", "must be a number, 0 or above, is -1"},
		{"some.toml", "bounds.grace-s", "must be a number, 0 or above, is soon"},
		{"some.toml", "bounds.finish-s", "must be a number, 0 or above, is NaN"},
		{"some.toml", "node", "missing"},
		{"some.toml", "ip", "missing"},
		{"some.toml", "zone", "missing"},
		{"some.toml", "internal-ports", "must be the first and the last of some ports"},
	})
	assert.ErrorContains(t, err, "some.toml: bounds.grace-s: must be a number, 0 or above, is soon\n")
}

func TestLoadRejectsUnreadableFiles(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "absent.toml"))
	assert.Assert(t, os.IsNotExist(trace.Unwrap(err)), "%v", err)

	_, err = Load(writeSettings(t, "node = \n"))
	var findings Findings
	assert.Assert(t, errors.As(err, &findings))
	assert.Equal(t, len(findings), 1)
}

func TestPathPrefersTheEnvironmentVariable(t *testing.T) {
	t.Setenv(EnvironmentVariable, "")
	assert.Equal(t, Path(), DefaultPath)
	t.Setenv(EnvironmentVariable, "/some/where.toml")
	assert.Equal(t, Path(), "/some/where.toml")
}

func FuzzParse(f *testing.F) {
	f.Add(everyKey)
	f.Add(requiredKeys)
	f.Add("internal-ports = [[1]]\n[bounds]\ngrace-s = 1e300\n[limits]\ncores = 1e300")
	f.Fuzz(func(t *testing.T, text string) {
		loaded, err := Parse("file", []byte(text))
		assert.Assert(t, (loaded == nil) != (err == nil))
		if loaded == nil {
			return
		}
		assert.Assert(t, loaded.Node != "")
		assert.Assert(t, loaded.Bounds.Grace >= 0)
		assert.Assert(t, loaded.Limits.Cores >= 0)
	})
}
