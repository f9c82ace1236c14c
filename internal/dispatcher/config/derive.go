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
		DiscoveryConns: 4, ClientConns: (usable - 4) * 5 / 9, WorkerConns: (usable - 4) * 4 / 9,
		ClientConnsWithoutHead: (usable - 4) / 6, SpareClientConns: max(sockets/40, 2), LingerBytes: 4 << 20, LingerTimeout: time.Second,
		BodyBytes: 64 << 10, AllBodiesBytes: int64(memory) << 20 / 4, HeadBytes: 16 << 10, LineBytes: 128 << 10, WorkerListBytes: 4 << 20, Workers: 20000, TrailingBytes: 4 << 10,
		AnswerReserve: 40 * time.Millisecond, RetryAfter: 50 * time.Millisecond, MaxJobTimeout: 5 * time.Minute,
		ConnectTimeout: 250 * time.Millisecond, WorkerIdleTimeout: 4 * time.Second, ClientIdleTimeout: 60 * time.Second,
		ReadTimeout: 2 * time.Second, TrailingTimeout: 250 * time.Millisecond, LateAnswerWindow: 100 * time.Millisecond,
		DiscoveryCallTimeout: 3500 * time.Millisecond, DiscoverySilenceTimeout: 3 * time.Second,
		DiscoveryBackoff: 300 * time.Millisecond, DiscoveryBackoffMax: 3 * time.Second,
		DrainGrace: 400 * time.Millisecond, DrainDelay: 600 * time.Millisecond,
		LastAcceptWindow: 20 * time.Millisecond,
		OutcomeRetention: 10 * time.Second, RetainedOutcomes: 4096, RetainedOutcomeBytes: memory << 20 / 8,
		BrokerBackoff: 100 * time.Millisecond, BrokerBackoffMax: 5 * time.Second, ConfirmTimeout: 2 * time.Second,
		CaptureQueueRows: 4096, CaptureGroupRows: 4096, CaptureRetryDelay: time.Second,
		PeerDatagramsPerSecond: 20000, UnknownPeerDatagramsPerSecond: 200, QueuedPeerDatagrams: 1024, PeerBytesPerSecond: 256 << 10, PeerLeaveTimeout: 400 * time.Millisecond,
		ReplicaFrameBytes: min(16<<20, memory<<20/8), ReplicaQueueBytes: memory << 20 / 16, ReplicaDialTimeout: time.Second, ReplicaRetryDelay: 100 * time.Millisecond,
		LeaseReserve: 150 * time.Millisecond, LeasePollInterval: 40 * time.Millisecond, LeaseNotifyWindow: 10 * time.Second, LeaseTransferBatch: 64, LeaseSubmitBatch: 16,
		LeaseRoundInterval: 100 * time.Millisecond, LeaseOrphanDelay: 300 * time.Millisecond, LeaseShutdownTimeout: 15 * time.Second,
	}
	// Bodies are counted by themselves; answers of half a body's size to all open jobs fit into a third of the memory.
	l.OpenJobs = max(min(l.ClientConns, memory<<20/3/int(l.BodyBytes/2)), 16)
	l.QueuedEvents = 8 * l.OpenJobs
	if s.MaxRetryAfter > 0 {
		l.RetryAfter = min(l.RetryAfter, s.MaxRetryAfter)
	}
	if s.ConnIdle > 0 { // a fifth earlier than the machine at the other end
		l.WorkerIdleTimeout = s.ConnIdle - s.ConnIdle/5
	}
	if s.DrainGrace > 0 {
		l.DrainGrace = s.DrainGrace - s.DrainGrace/5
	}
	if s.MaxDiscoverySilence > 0 { // a watch must be known to be broken well before its silence counts as told
		// but never sooner than its lines come, one in 2 s
		l.DiscoverySilenceTimeout = max(min(l.DiscoverySilenceTimeout, s.MaxDiscoverySilence/2), 2500*time.Millisecond)
		l.DiscoveryBackoffMax = min(l.DiscoveryBackoffMax, s.MaxDiscoverySilence/3)
	}
	if s.Discovery == decision.DiscoveryPush && s.DrainGrace > 0 {
		// The agent on this machine answers at once or not at all, and what it holds counts as told: a call that it left
		// without an answer while discovery was down may not outlast the grace of a drain told at its return.
		l.DiscoveryCallTimeout, l.DiscoverySilenceTimeout = max(l.DrainGrace/4, 50*time.Millisecond), min(l.DiscoverySilenceTimeout, 2500*time.Millisecond)
		l.DiscoveryBackoff = min(l.DiscoveryBackoff, max(l.DrainGrace/8, 20*time.Millisecond))
		l.DiscoveryBackoffMax = l.DiscoveryBackoff
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		l.OutcomeRetention, longest = max(l.OutcomeRetention, c.DedupWindow), max(longest, c.Deadline)
	}
	if longest == 0 || longest > 3*time.Second { // the platform takes it so
		longest = 3 * time.Second
	}
	l.LastAnswerWindow = longest + l.DrainDelay // it kills 0.1 s later at the earliest
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
func (n *Node) LoadFieldIndex(word string) int {
	return slices.IndexFunc(n.LoadFields, func(f string) bool { return f == word || wordOf[f] == word })
}
