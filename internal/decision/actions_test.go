package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
)

// The actions of long seeded runs must match recorded hashes. A change that preserves the behaviour preserves
// the hashes; a change that alters it on purpose records new ones.
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
		{"expensive zones", costlyZoneSettings, 0, "dcbd5e11375e8edb"},
	} {
		s := testSettings()
		tc.change(&s)
		if got := hashOf(runScript(t, 1, s, tc.keys, 20000)); got != tc.want {
			t.Errorf("%s: actions have hash %s, want recorded hash %s", tc.name, got, tc.want)
		}
	}
}

// The actions at the settings that randomSettings draws must match the recorded hash.
func TestRandomSettingsActionsMatchRecordedHashes(t *testing.T) {
	const want = "a5ac090dfe4597cf"
	var log []string
	for seed := range uint64(60) {
		s := randomSettings(rand.New(rand.NewPCG(seed, 3)))
		log = append(log, runScript(t, seed, s, seed%2, 1000)...)
	}
	if got := hashOf(log); got != want {
		t.Errorf("actions have hash %s, want recorded hash %s", got, want)
	}
}

// hashOf returns the first bytes of the hash of a log of actions, in hexadecimal.
func hashOf(log []string) string {
	sum := sha256.Sum256([]byte(strings.Join(log, "\n")))
	return hex.EncodeToString(sum[:8])
}
