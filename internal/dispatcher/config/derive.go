// Derivation: the settings of the module and the limits, from what the platform gives.

package config

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"gladepick/internal/decision"
)

// derive fills Limits from what the platform grants and the settings say.
func derive(cores float64, memory, sockets int, s *decision.Settings) (Limits, error) {
	switch {
	case !(cores > 0 && cores <= 1024):
		return Limits{}, fmt.Errorf("limits.cores: %v is out of range", cores)
	case memory < 32 || memory > 1<<20:
		return Limits{}, fmt.Errorf("limits.memory_mb: %d is out of range (32 and more)", memory)
	case sockets < 64:
		return Limits{}, fmt.Errorf("limits.sockets: %d is too few (64 and more)", sockets)
	}
	// A tenth stays for the listener, standard streams, the poller and what is just being closed.
	usable := sockets - sockets/10
	l := Limits{
		Cores: cores, MemoryMB: memory, Sockets: sockets,
		RosterConns: 4, PortalConns: (usable - 4) * 5 / 9, FloorConns: (usable - 4) * 4 / 9,
		PortalFresh: (usable - 4) / 6, PortalSpare: max(sockets/40, 2), LingerBytes: 4 << 20, Linger: time.Second,
		Body: 64 << 10, Bodies: int64(memory) << 20 / 4, Head: 16 << 10, Line: 128 << 10, Roster: 4 << 20, Workers: 20000, LateReads: 4 << 10,
		AnswerRoom: 40 * time.Millisecond, RetryAfter: 50 * time.Millisecond, MostPatience: 5 * time.Minute,
		Connect: 250 * time.Millisecond, WorkerIdle: 4 * time.Second, ClientIdle: 60 * time.Second,
		ReadHead: 2 * time.Second, TailWait: 250 * time.Millisecond, LateAnswer: 100 * time.Millisecond,
		RosterCall: 3500 * time.Millisecond, RosterSilent: 3 * time.Second,
		RosterRetry: 300 * time.Millisecond, RosterRetryMax: 3 * time.Second,
		DrainGrace: 400 * time.Millisecond, Farewell: 600 * time.Millisecond,
		LastAccept: 20 * time.Millisecond,
		Remember:   10 * time.Second, Remembered: 4096, RememberedBytes: memory << 20 / 8,
		Reconnect: 100 * time.Millisecond, ReconnectMax: 5 * time.Second, Confirm: 2 * time.Second,
		CaptureRows: 4096, CaptureGroup: 4096, CaptureRetry: time.Second,
		PeerReads: 20000, PeerStrangers: 200, PeerMailbox: 1024, PeerBytes: 256 << 10, PeerFarewell: 400 * time.Millisecond,
		CopyFrame: min(16<<20, memory<<20/8), CopyQueue: memory << 20 / 16, CopyDial: time.Second, CopyRetry: 100 * time.Millisecond,
		LeaseRoom: 150 * time.Millisecond, LeaseLook: 40 * time.Millisecond, LeaseLinger: 10 * time.Second, LeasesMoved: 64, LeasesTaken: 16,
		LeaseRound: 100 * time.Millisecond, LeaseOrphan: 300 * time.Millisecond, LeaseFarewell: 15 * time.Second,
	}
	// Bodies are counted by themselves; answers of half a body's size to all open jobs fit into a third of the memory.
	l.OpenJobs = max(min(l.PortalConns, memory<<20/3/int(l.Body/2)), 16)
	l.Mailbox = 8 * l.OpenJobs
	if s.MaxRetryAfter > 0 {
		l.RetryAfter = min(l.RetryAfter, s.MaxRetryAfter)
	}
	if s.ConnIdle > 0 { // a fifth earlier than the machine at the other end
		l.WorkerIdle = s.ConnIdle - s.ConnIdle/5
	}
	if s.DrainGrace > 0 {
		l.DrainGrace = s.DrainGrace - s.DrainGrace/5
	}
	if s.MaxDiscoverySilence > 0 { // a watch must be known to be broken well before its silence counts as told
		// but never sooner than its lines come, one in 2 s
		l.RosterSilent = max(min(l.RosterSilent, s.MaxDiscoverySilence/2), 2500*time.Millisecond)
		l.RosterRetryMax = min(l.RosterRetryMax, s.MaxDiscoverySilence/3)
	}
	if s.Discovery == decision.DiscoveryPush && s.DrainGrace > 0 {
		// The agent on this machine answers at once or not at all, and what it holds counts as told: a call that it left
		// without an answer while discovery was down may not outlast the grace of a drain told at its return.
		l.RosterCall, l.RosterSilent = max(l.DrainGrace/4, 50*time.Millisecond), min(l.RosterSilent, 2500*time.Millisecond)
		l.RosterRetry = min(l.RosterRetry, max(l.DrainGrace/8, 20*time.Millisecond))
		l.RosterRetryMax = l.RosterRetry
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		l.Remember, longest = max(l.Remember, c.DedupWindow), max(longest, c.Deadline)
	}
	if longest == 0 || longest > 3*time.Second { // the platform takes it so
		longest = 3 * time.Second
	}
	l.LastAnswer = longest + l.Farewell // it kills 0.1 s later at the earliest
	return l, nil
}

// Apply makes the runtime keep to the limits. A memory limit set under the
// platform's own makes the collector work harder before the process is killed.
func (l *Limits) Apply() {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}

// flatten writes nested settings as the path=value lines that the simulator's wire has.
func flatten(out *strings.Builder, path string, v any) {
	under := func(k string) string {
		if path == "" {
			return k
		}
		return path + "." + k
	}
	plain := func(v any) string {
		return strings.NewReplacer(" ", "_", ",", "_", "\n", "_").Replace(fmt.Sprint(v))
	}
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for k, e := range v {
			flatten(out, under(k), e)
		}
	case []any:
		if slices.ContainsFunc(v, func(e any) bool { _, ok := e.(map[string]any); return ok }) {
			fmt.Fprintf(out, "%s=%d\n", under("count"), len(v))
			for i, e := range v {
				flatten(out, under(strconv.Itoa(i)), e)
			}
			return
		}
		parts := make([]string, len(v))
		for i, e := range v {
			parts[i] = plain(e)
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(parts, ","))
	default:
		fmt.Fprintf(out, "%s=%s\n", path, plain(v))
	}
}

func words(v any) (out []string) {
	list, _ := v.([]any)
	for _, e := range list {
		out = append(out, fmt.Sprint(e))
	}
	return out
}

// names reads the names of a list of objects; each needs one of its own.
func names(settings map[string]any, key string) (out []string, err error) {
	list, _ := settings[key].([]any)
	for i, e := range list {
		m, _ := e.(map[string]any)
		name, _ := m["name"].(string)
		if name == "" || slices.Contains(out, name) {
			return nil, fmt.Errorf("setting %s.%d.name: %q is missing or double", key, i, name)
		}
		out = append(out, name)
	}
	return out, nil
}

// span reads a time in nanoseconds from nested settings.
func span(v any, otherwise time.Duration, path ...string) time.Duration {
	for _, key := range path {
		m, _ := v.(map[string]any)
		v = m[key]
	}
	if n, ok := v.(json.Number); ok {
		if f, err := n.Float64(); err == nil && f > 0 && f < float64(time.Hour) {
			return time.Duration(f)
		}
	}
	return otherwise
}

// Index finds the places of the values that a name stands for, -1 where there is none.
func Index(list []string, name string) int { return slices.Index(list, name) }

// Figure finds the place of a load figure by the settings' word or by the workers' own, -1 where there is none.
func (n *Node) Figure(word string) int {
	return slices.IndexFunc(n.LoadFields, func(f string) bool { return f == word || wordOf[f] == word })
}
