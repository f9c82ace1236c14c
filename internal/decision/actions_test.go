package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestScriptedRunActionsMatchRecordedHashes holds the actions of long seeded plays against recorded hashes. A change that is
// meant to leave the behaviour alone must leave them alone; one that is meant to change it records the new ones.
func TestScriptedRunActionsMatchRecordedHashes(t *testing.T) {
	reports := func(s *Settings) {
		s.ReportsLoad, s.ParallelAttempts, s.Report = true, false, LoadReportLayout{0, -1, 1, -1, -1, -1}
	}
	for _, tc := range []struct {
		name   string
		change func(*Settings)
		keys   uint64
		want   string
	}{
		{"plain", func(*Settings) {}, 0, "be332dc29959b234"},
		{"keys", func(*Settings) {}, 1, "ba528fab3e3c1fe0"},
		{"reports", reports, 0, "e175528ef46e4515"},
		{"reports and keys", reports, 1, "afe8405d794939e4"},
		{"many dispatchers", sharedFleetSettings, 0, "8d29dbc875cc83f0"},
		{"dear zones", costlyZoneSettings, 0, "dcbd5e11375e8edb"},
	} {
		s := testSettings()
		tc.change(&s)
		if got := hashOf(runScript(t, 1, s, tc.keys, 20000)); got != tc.want {
			t.Errorf("%s: the actions have the hash %s, recorded is %s", tc.name, got, tc.want)
		}
	}
}

// TestRandomSettingsActionsMatchRecordedHashes does the same over settings that the generator of rules_test.go draws.
func TestRandomSettingsActionsMatchRecordedHashes(t *testing.T) {
	const want = "a5ac090dfe4597cf"
	var log []string
	for seed := range uint64(60) {
		s := randomSettings(rand.New(rand.NewPCG(seed, 3)))
		log = append(log, runScript(t, seed, s, seed%2, 1000)...)
	}
	if got := hashOf(log); got != want {
		t.Errorf("the actions have the hash %s, recorded is %s", got, want)
	}
}

// hashOf is the start of the hash of a log of actions.
func hashOf(log []string) string {
	sum := sha256.Sum256([]byte(strings.Join(log, "\n")))
	return hex.EncodeToString(sum[:8])
}
