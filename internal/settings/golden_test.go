package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// The golden files under testdata hold settings files and what is read from them. Every later version must read the
// same values. The flag -update writes them; never edit them by hand.

// valuesByKey returns all settings under the keys of the file. Durations are in nanoseconds.
func valuesByKey(s *Settings) map[string]any {
	return map[string]any{
		"node":              s.Node,
		"role":              s.Role,
		"class":             s.Class,
		"serves":            s.Serves,
		"ip":                s.IP,
		"zone":              s.Zone,
		"region":            s.Region,
		"internal-ports":    []int{s.InternalPorts.First, s.InternalPorts.Last},
		"seeds":             s.Seeds,
		"bootstrap":         s.Bootstrap,
		"counts-for-quorum": s.CountsForQuorum,
		"data-dir":          s.DataDir,
		"discovery":         s.Discovery,
		"entry":             s.Entry,
		"heartbeat-ms":      s.HeartbeatInterval,
		"contracts":         s.Contracts,
		"zones":             s.Zones,
		"listen-addrs": map[string]any{
			"front":   s.ListenAddresses.Front,
			"ready":   s.ListenAddresses.Ready,
			"control": s.ListenAddresses.Control,
		},
		"limits": map[string]any{
			"cpu-share": s.Limits.CPUShare,
			"cores":     s.Limits.Cores,
			"memory-mb": s.Limits.MemoryMB,
			"max-fds":   s.Limits.MaxFDs,
			"link-mbps": s.Limits.LinkMbps,
			"disk-mb":   s.Limits.DiskMB,
		},
		"fault-tolerance": map[string]any{
			"machines": s.FaultTolerance.Machines,
			"zones":    s.FaultTolerance.Zones,
			"regions":  s.FaultTolerance.Regions,
		},
		"bounds": boundsByKey(s.Bounds),
		"cloud": map[string]any{
			"address":    s.Cloud.Address,
			"rate-per-s": s.Cloud.RatePerSecond,
			"duties":     s.Cloud.Duties,
			"lag-ms":     s.Cloud.Lag,
		},
	}
}

// boundsByKey returns the bounds under the keys of the file. Durations are in nanoseconds.
func boundsByKey(bounds Bounds) map[string]any {
	return map[string]any{
		"seed-lag-s":        bounds.SeedLag,
		"reuse-after-s":     bounds.ReuseAfter,
		"contact-ms":        bounds.Contact,
		"ack-ms":            bounds.Acknowledge,
		"catch-up-s":        bounds.CatchUp,
		"drain-ms":          bounds.Drain,
		"grace-s":           bounds.Grace,
		"loss-slack-ms":     bounds.LossSlack,
		"config-apply-ms":   bounds.ConfigurationLag,
		"revert-slack-ms":   bounds.RevertSlack,
		"max-skew-ms":       bounds.MaxSkew,
		"recovery-s":        bounds.Recovery,
		"finish-s":          bounds.Finish,
		"status-s":          bounds.Status,
		"callback-s":        bounds.Callback,
		"visibility-ms":     bounds.Visibility,
		"early-ms":          bounds.Early,
		"ceiling-window-s":  bounds.RateLimitWindow,
		"ceiling-overshoot": bounds.RateLimitOvershoot,
	}
}

func TestGoldenValues(t *testing.T) {
	for name, text := range map[string]string{
		"every-key": everyKey,
		"defaults":  requiredKeys,
		"saturated": requiredKeys + `
			heartbeat-ms = 1e300
			[limits]
			cores = 1e300
			memory-mb = 2.9
			[bounds]
			grace-s = 0
			early-ms = 0.0000004
			drain-ms = 0.0000006
		`,
	} {
		golden.Assert(t, text, name+".toml")
		loaded, err := Load(golden.Path(name + ".toml"))
		assert.NilError(t, err)
		values, err := json.MarshalIndent(valuesByKey(loaded), "", "  ")
		assert.NilError(t, err)
		golden.Assert(t, string(values)+"\n", name+".values.json")
	}
}

func TestGoldenFindings(t *testing.T) {
	texts := []string{
		"",
		"node = \n",
		requiredKeys + "node = \"twice\"\n",
		requiredKeys + "internal-ports = 5\n",
		"node = 3\nip = []\nzone = [\"z\"]\ninternal-ports = [9, 8]\n",
		"node = \"n\"\nip = \"i\"\nzone = \"z\"\ninternal-ports = [0, 1]\n",
		"node = \"n\"\nip = \"i\"\nzone = \"z\"\ninternal-ports = [1, 65536]\n",
		"node = \"n\"\nip = \"i\"\nzone = \"z\"\ninternal-ports = [1]\n",
		"node = \"n\"\nip = \"i\"\nzone = \"z\"\ninternal-ports = [\"a\", 2]\n",
		requiredKeys + "seeds = [\"a\", 1]\nserves = \"front\"\ncontracts = 1\nbootstrap = \"yes\"\ncounts-for-quorum = 1\nheartbeat-ms = -1\n",
		requiredKeys + "zones = 1\nlimits = [1]\nbounds = \"b\"\n",
		requiredKeys + "[zones]\nz = 1\n[limits]\ncores = -1\ncpu-share = inf\n[cloud]\nrate-per-s = \"one\"\nduties = [1]\n",
		requiredKeys + "[bounds]\ngrace-s = \"soon\"\nfinish-s = nan\nearly-ms = true\nceiling-overshoot = -0.5\n",
		requiredKeys + "[listen-addrs]\nfront = 1\nready = true\n[fault-tolerance]\nmachines = -2\n",
	}
	var report strings.Builder
	for _, text := range texts {
		fmt.Fprintf(&report, "%q\n", text)
		_, err := Parse("some.toml", []byte(text))
		var findings Findings
		assert.Assert(t, errors.As(err, &findings), "%v", err)
		for _, finding := range findings {
			fmt.Fprintf(&report, "    file %q, key %q, problem %q\n", finding.File, finding.Key, finding.Problem)
			assert.Assert(t, strings.Contains(err.Error(), finding.String()))
		}
	}
	golden.Assert(t, report.String(), "findings.txt")
}
