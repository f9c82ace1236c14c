package clienthttp

import (
	"strings"
	"testing"
	"time"

	"gladepick/internal/dispatcher/dispatch"
)

func TestParseTimeout(t *testing.T) {
	for _, tc := range []struct {
		text string
		unit time.Duration
		want time.Duration // 0 means an error
	}{
		{"2.5", time.Second, 2500 * time.Millisecond},
		{"250", time.Millisecond, 250 * time.Millisecond},
		{"60", time.Second, time.Minute},
		{"0.00001", time.Second, time.Millisecond}, // the minimum
		{"", time.Second, 0},
		{"0", time.Second, 0},
		{"-1", time.Second, 0},
		{"+1", time.Second, 0},
		{"1e2", time.Second, 0},
		{"0x1p4", time.Second, 0},
		{"Inf", time.Second, 0},
		{"NaN", time.Second, 0},
		{"60.1", time.Second, 0},
		{"1" + strings.Repeat("0", 24), time.Second, 0},
	} {
		got, err := ParseTimeout(tc.text, tc.unit, time.Minute)
		if got != tc.want || (err != nil) != (tc.want == 0) {
			t.Errorf("%q: got %v, error %v; want %v", tc.text, got, err, tc.want)
		}
	}
}

func TestIsHeaderSafe(t *testing.T) {
	for _, tc := range []struct {
		value string
		safe  bool
	}{
		{"", true},
		{"a-1:/~", true},
		{strings.Repeat("a", 256), true},
		{strings.Repeat("a", 257), false},
		{"a b", false},
		{"a\tb", false},
		{"é", false},
	} {
		if safe := IsHeaderSafe(tc.value); safe != tc.safe {
			t.Errorf("%q: IsHeaderSafe = %v, want %v", tc.value, safe, tc.safe)
		}
	}
}

func TestParseAttributes(t *testing.T) {
	for _, tc := range []struct {
		text          string
		slots, memory float64
		fails         bool
	}{
		{"", 0, 0, false},
		{"slots=2, memory=1.5", 2, 1.5, false},
		{"ram_units=3,slots=1", 1, 3, false},
		{"colour=red, slots=1", 1, 0, false},
		{"slots=many", 0, 0, true},
		{"slots=-1", 0, 0, true},
		{"memory=1e10", 0, 0, true},
	} {
		var j dispatch.Job
		rejection := parseAttributes(&j, tc.text)
		if (rejection != nil) != tc.fails || !tc.fails && (j.Slots != tc.slots || j.Memory != tc.memory) {
			t.Errorf("%q: got error %v, %v slots and %v memory", tc.text, rejection, j.Slots, j.Memory)
		}
	}
}
