// These tests check that the error about an invalid setting names its key, and
// that the limits follow from the platform's grants and the settings.
package config_test

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/testenv"
)

func writeFile(t *testing.T, name, text string) string {
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const completeFile = `{"name":"n1","listen":"127.0.0.1:5000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"generation":0,"reset":true,"instances":[]},"settings":` + testenv.Settings + `}`

func loadNode(t *testing.T, text string, env map[string]string) (*config.Node, error) {
	path := writeFile(t, "node.json", text)
	return config.Load(func(key string) string {
		if key == "NODE_CONFIG" {
			return path
		}
		return env[key]
	})
}

// A platform file with all settings is read completely, and the limits fit within the grants.
func TestLoadReadsAllSettings(t *testing.T) {
	n, err := loadNode(t, completeFile, map[string]string{"NODE_NAME": "n2"})
	if err != nil {
		t.Fatal(err)
	}
	m, l := n.Module, n.Limits
	if n.Name != "n2" || n.Seed != 0x8c1f30d27a5be964 || len(m.Classes) != 2 || m.Classes[1].Idempotency != decision.Deduplicated ||
		m.Classes[1].DedupScope != decision.DedupByAll || m.Classes[1].Stretch != 2.5 || m.Classes[1].DedupWindow != 7500*time.Millisecond ||
		m.Classes[0].WorkerKind != -1 || m.Tenants[1].RatePerSecond != 17 || m.Discovery != decision.DiscoveryPoll || m.Kinds != 2 || !m.ReportsStart ||
		m.Report.Queue != 3 || !m.ReportsLoad || m.MaxAttempts != 3 || m.ProgressInterval != time.Second {
		t.Errorf("unexpected settings: %+v", m)
	}
	if n.LoadFieldIndex("q") != 3 || n.LoadFieldIndex("queue") != 3 || n.LoadFieldIndex("eps") != 1 || n.LoadFieldIndex("other") != -1 {
		t.Errorf("unexpected indices of the load figures %v", n.LoadFields)
	}
	if l.ClientConns+l.WorkerConns+l.DiscoveryConns+l.Sockets/10 > l.Sockets || l.OpenJobs > l.ClientConns ||
		int64(l.OpenJobs)*2*l.BodyBytes > int64(l.MemoryMB)<<20/2 || l.WorkerIdleTimeout >= m.ConnIdle || l.DrainGrace >= m.DrainGrace ||
		l.RetryAfter > m.MaxRetryAfter || l.OutcomeRetention < 7500*time.Millisecond || l.ConnectTimeout != 250*time.Millisecond {
		t.Errorf("the limits do not fit together: %+v", l)
	}
}

// At the start the discovery address in the environment takes precedence; after a reload the address in the file does.
// ChangedKeys names every other setting that differs. A file that is incomplete or invalid is an error.
func TestReloadTakesDiscoveryFromTheFile(t *testing.T) {
	path := writeFile(t, "node.json", completeFile)
	env := map[string]string{"NODE_CONFIG": path, "NODE_DISCOVERY": "127.0.0.1:9999"}
	getenv := func(key string) string { return env[key] }
	first, err := config.Load(getenv)
	if err != nil || first.Discovery != "127.0.0.1:9999" {
		t.Fatalf("at the start: %v, %v", first, err)
	}
	for _, tc := range []struct{ from, to, discovery, changed string }{
		{"", "", "127.0.0.1:8500", "[]"},
		{`"127.0.0.1:8500"`, `"127.0.0.1:8501"`, "127.0.0.1:8501", "[]"},
		{`"127.0.0.1:8500"`, `""`, "127.0.0.1:9999", "[]"},
		{`"memory_mb":192`, `"memory_mb":64`, "127.0.0.1:8500", "[limits]"},
		{`"listen":"127.0.0.1:5000"`, `"listen":"127.0.0.1:5001"`, "127.0.0.1:8500", "[listen]"},
		{`"value":8.0`, `"value":9.0`, "127.0.0.1:8500", "[settings]"},
	} {
		os.WriteFile(path, []byte(strings.Replace(completeFile, tc.from, tc.to, 1)), 0o600)
		n, err := config.Reload(getenv)
		if err != nil || n.Discovery != tc.discovery || fmt.Sprint(first.ChangedKeys(n)) != tc.changed {
			t.Errorf("%s: %v, %+v", tc.to, err, n)
		}
	}
	for _, text := range []string{"", completeFile[:len(completeFile)/2], completeFile + "}", completeFile + completeFile, strings.Replace(completeFile, "127.0.0.1:8500", "x", 1),
		strings.Replace(completeFile, `"effect":"free"`, `"effect":"gratis"`, 1)} {
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := config.Reload(getenv); err == nil {
			t.Errorf("an incomplete or invalid file of %d bytes is accepted", len(text))
		}
	}
}

// The error about an invalid value in the platform's file names its key.
func TestInvalidSettingErrorNamesItsKey(t *testing.T) {
	for _, tc := range []struct{ from, to, key string }{
		{`"listen":"127.0.0.1:5000"`, `"listen":"here"`, "NODE_LISTEN"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"there"`, "NODE_DISCOVERY"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"aim":150000000`, `"aim":"soon"`, "classes.0.aim"},
		{`"name":"enrol"`, `"name":"seat-check"`, "classes.1.name"},
		{`"name":"univ-gaspesie"`, `"name":""`, "tenants.1.name"},
		{`"max_attempts":3`, `"max_attempts":"x"`, "limits.max_attempts"},
		{`"known":{`, `"known":{{`, "NODE_CONFIG"},
		{`"discovery":"subscribe"`, `"discovery":"shout"`, `node.json: setting discovery: "shout" is not one of automatic, subscribe`},
		{`"cold_from":0.3`, `"cold_from":3`, `node.json: setting invariants.cold_from: "3" is not in 0 to 1`},
	} {
		if _, err := loadNode(t, strings.Replace(completeFile, tc.from, tc.to, 1), nil); err == nil || !strings.Contains(err.Error(), tc.key) {
			t.Errorf("%s: want an error that names %s, got %v", tc.to, tc.key, err)
		}
	}
}

// The error about an invalid value in the file for the broker names its key.
func TestInvalidAMQPFileErrorNamesItsKey(t *testing.T) {
	const good = "[amqp]\nurl = \"amqp://127.0.0.1/\"\njobs = \"jobs\"\n[[amqp.worker]]\nid = \"s-1\"\nqueue = \"q\"\nzone = \"montreal\"\nkind = \"std-2c\"\n"
	for _, tc := range []struct{ from, to, key string }{
		{"", "", ""},
		{"amqp://", "http://", "amqp.url"},
		{`"jobs"`, `""`, "amqp.jobs"},
		{"jobs =", "prefetch = -1\njobs =", "amqp.prefetch"},
		{"jobs =", "speed = 1\njobs =", "amqp.speed"},
		{`id = "s-1"`, `id = ""`, "amqp.worker.0.id"},
		{`queue = "q"`, `queue = ""`, "amqp.worker.0.queue"},
		{"montreal", "paris", "amqp.worker.0.zone"},
		{"std-2c", "huge", "amqp.worker.0.kind"},
	} {
		_, err := loadNode(t, completeFile, map[string]string{"NODE_AMQP": writeFile(t, "amqp.toml", strings.Replace(good, tc.from, tc.to, 1))})
		if (err == nil) != (tc.key == "") || err != nil && !strings.Contains(err.Error(), tc.key) {
			t.Errorf("%s: want an error that names %q, got %v", tc.to, tc.key, err)
		}
	}
}

// The membership needs the operator's file and the settings' permission. An error names the missing permission or the
// invalid key.
func TestMembersFileErrorsNameTheirCause(t *testing.T) {
	allowed := strings.Replace(completeFile, `"cancelling":true`, `"cancelling":true,"peers":true`, 1)
	const good = "[members]\nlisten = \"127.0.0.1:7400\"\n[[members.peer]]\nname = \"n2\"\naddress = \"127.0.0.1:7401\"\n"
	if n, err := loadNode(t, allowed, nil); err != nil || n.Membership != nil {
		t.Errorf("without the file: want no membership, got %+v, %v", n, err)
	}
	if _, err := loadNode(t, completeFile, map[string]string{"NODE_MEMBERS": writeFile(t, "members.toml", good)}); err == nil || !strings.Contains(err.Error(), "limits.peers") {
		t.Errorf("without the permission: want an error that names limits.peers, got %v", err)
	}
	for _, tc := range []struct{ from, to, key string }{
		{"", "", ""},
		{`"127.0.0.1:7400"`, `"here"`, "members.listen"},
		{"listen =", "at = \"0.0.0.0:7400\"\nlisten =", "members.at"},
		{"listen =", "period_ms = 1\nlisten =", "members.period_ms"},
		{"listen =", "bear_ms = -1\nlisten =", "members.bear_ms"},
		{"listen =", "weight = -1.0\nlisten =", "members.weight"},
		{"listen =", "version = \"much too long a version\"\nlisten =", "members.version"},
		{"listen =", "colour = 1\nlisten =", "members.colour"},
		{`"n2"`, `""`, "members.peer.0.name"},
		{`"127.0.0.1:7401"`, `"there"`, "members.peer.0.address"},
		{"[[members.peer]]", "[[members.peer]]\nname = \"n2\"\naddress = \"127.0.0.1:1\"\n[[members.peer]]", "members.peer.1.name"},
	} {
		n, err := loadNode(t, allowed, map[string]string{"NODE_MEMBERS": writeFile(t, "members.toml", strings.Replace(good, tc.from, tc.to, 1))})
		if (err == nil) != (tc.key == "") || err != nil && !(strings.Contains(err.Error(), tc.key) && strings.Contains(err.Error(), "members.toml")) {
			t.Errorf("%s: want an error that names %q, got %v", tc.to, tc.key, err)
		}
		if err == nil && (len(n.Membership.Peers) != 1 || n.Membership.LearnNames || n.Membership.Advertise != n.Membership.Listen) {
			t.Errorf("%+v", n.Membership)
		}
	}
	// If the file names no peers, the peers in the platform's file are used, except this dispatcher itself.
	platform := strings.Replace(allowed, `"seed":`, `"peers":["127.0.2.1:7946","127.0.2.2:7946","127.0.2.3:7946"],"peer_listen":"127.0.0.1:7946","seed":`, 1)
	n, err := loadNode(t, platform, map[string]string{"NODE_MEMBERS": writeFile(t, "members.toml", "[members]\n")})
	if err != nil || !n.Membership.LearnNames || len(n.Membership.Peers) != 2 || n.Membership.Listen.String() != "127.0.0.1:7946" {
		t.Errorf("%v: %+v", err, n)
	}
	if n, err := loadNode(t, allowed, map[string]string{"NODE_MEMBERS": "../../../deploy/members.toml"}); err != nil || len(n.Membership.Peers) != 2 {
		t.Errorf("the file in deploy: %v", err)
	}
}

// Durable jobs need the membership, the permission and a network path that carries more than datagrams. An error names
// what is missing or the invalid key.
func TestPromisesFileErrorsNameTheirCause(t *testing.T) {
	allowed := strings.Replace(completeFile, `"cancelling":true`, `"cancelling":true,"peers":true`, 1)
	members := writeFile(t, "members.toml", "[members]\nlisten = \"127.0.0.1:7400\"\n")
	const good = "[promises]\nlisten = \"127.0.0.1:7500\"\ncopies = 3\n[[promises.peer]]\nname = \"n2\"\naddress = \"127.0.0.1:7501\"\n[[promises.peer]]\nname = \"n3\"\naddress = \"127.0.0.1:7502\"\n"
	promises := writeFile(t, "promises.toml", good)
	for text, want := range map[string]string{
		completeFile: "limits.peers",
		strings.Replace(allowed, `"seed":`, `"peer_listen":"127.0.0.1:7946","seed":`, 1): "peer_listen",
		allowed: "NODE_MEMBERS",
	} {
		env := map[string]string{"NODE_PROMISES": promises}
		if want != "NODE_MEMBERS" && want != "limits.peers" {
			env["NODE_MEMBERS"] = members
		}
		if _, err := loadNode(t, text, env); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "promises.toml") {
			t.Errorf("want an error that names %s, got %v", want, err)
		}
	}
	for _, tc := range []struct{ from, to, key string }{
		{"", "", ""},
		{`"127.0.0.1:7500"`, `"here"`, "promises.listen"},
		{"copies = 3", "copies = 2", "promises.copies"},
		{"copies = 3", "copies = 5", "promises.peer"},
		{"copies = 3", "groups = 0", "promises.groups"},
		{"copies = 3", "keep_s = 0.5", "promises.keep_s"},
		{"copies = 3", "skew_ms = -1", "promises.skew_ms"},
		{"copies = 3", "skew_ms = 9000", "promises.skew_ms"},
		{"copies = 3", "most = 0", "promises.most"},
		{"copies = 3", "crash_at = \"anywhere\"", "promises.crash_at"},
		{"copies = 3", "crash_by = \"luck\"", "promises.crash_by"},
		{"copies = 3", "crash_on = 0", "promises.crash_on"},
		{"copies = 3", "colour = 1", "promises.colour"},
		{`"n2"`, `"n3"`, "promises.peer.1.name"},
		{`"127.0.0.1:7501"`, `"there"`, "promises.peer.0.address"},
	} {
		n, err := loadNode(t, allowed, map[string]string{"NODE_MEMBERS": members, "NODE_PROMISES": writeFile(t, "promises.toml", strings.Replace(good, tc.from, tc.to, 1))})
		if (err == nil) != (tc.key == "") || err != nil && !(strings.Contains(err.Error(), tc.key) && strings.Contains(err.Error(), "promises.toml")) {
			t.Errorf("%s: want an error that names %q, got %v", tc.to, tc.key, err)
		}
		if err == nil && (len(n.DurableJobs.Peers) != 2 || n.DurableJobs.Replicas != 3 || n.DurableJobs.Groups != 16) {
			t.Errorf("%+v", n.DurableJobs)
		}
	}
	if n, err := loadNode(t, allowed, map[string]string{"NODE_MEMBERS": members, "NODE_PROMISES": "../../../deploy/promises.toml", "NODE_NAME": "n0"}); err != nil || len(n.DurableJobs.Peers) != 2 {
		t.Errorf("the file in deploy: %v", err)
	}
}

// The error about an invalid value in an agent's file names its key.
func TestInvalidAgentFileErrorNamesItsKey(t *testing.T) {
	const good = "[agent]\ncontrol = \"127.0.0.1:7470\"\n[snmp]\nlisten = \"127.0.0.1:1161\"\n[[instance]]\nname = \"n0\"\nlisten = \"127.0.0.1:5000\"\nconfig = \"x\"\n"
	for _, tc := range []struct{ from, to, key string }{
		{"", "", ""},
		{`"127.0.0.1:7470"`, `"10.0.0.1:7470"`, "agent.control"},
		{`"127.0.0.1:1161"`, `"0.0.0.0:1161"`, "snmp.listen"},
		{"[snmp]", "poll_ms = 1\n[snmp]", "agent.poll_ms"},
		{`name = "n0"`, `name = ""`, "instance.0.name"},
		{`listen = "127.0.0.1:5000"`, `listen = "x"`, "instance.0.listen"},
		{`config = "x"`, `config = ""`, "instance.0.config"},
		{`config = "x"`, "config = \"x\"\ndiscovery = \"x\"", "instance.0.discovery"},
		{`config = "x"`, "config = \"x\"\ncolour = 1", "colour"},
		{"[[instance]]", "[[instance]]\nname = \"n0\"\nlisten = \"127.0.0.1:6000\"\nconfig = \"x\"\n[[instance]]", "instance.1.name"},
	} {
		_, err := config.LoadAgent(writeFile(t, "agent.toml", strings.Replace(good, tc.from, tc.to, 1)))
		if (err == nil) != (tc.key == "") || err != nil && !strings.Contains(err.Error(), tc.key) {
			t.Errorf("%s: want an error that names %q, got %v", tc.to, tc.key, err)
		}
	}
	for _, path := range []string{"../../../deploy/agent.toml"} {
		if _, err := config.LoadAgent(path); err != nil {
			t.Error(err)
		}
	}
}

// The platform kills a process that exceeds its memory, so the garbage collector must run before. The number of threads
// follows from the processor share.
func TestApplySetsTheRuntimeLimits(t *testing.T) {
	cores, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	defer func() { runtime.GOMAXPROCS(cores); debug.SetMemoryLimit(memory) }()
	for grant, want := range map[float64]int{0.25: 1, 1: 1, 1.5: 2} {
		(&config.Limits{Cores: grant, MemoryMB: 192}).Apply()
		if got := runtime.GOMAXPROCS(0); got != want {
			t.Errorf("%v cores give GOMAXPROCS %d", grant, got)
		}
	}
	if got := debug.SetMemoryLimit(-1); got != 144<<20 {
		t.Errorf("192 MB give a memory limit of %d bytes", got)
	}
}

// For the times in the settings of several customers: a healthy watch stream, which has a line every 2 s, is never
// taken for silent, and the last answer of a shutdown is sent before the platform may kill the process.
func TestTimeLimitsFollowTheSettings(t *testing.T) {
	for _, tc := range []struct{ maxSilence, deadline, lastAnswer time.Duration }{
		{time.Second, 800 * time.Millisecond, 1400 * time.Millisecond},
		{4 * time.Second, 2 * time.Second, 2600 * time.Millisecond},
		{10 * time.Second, 5 * time.Second, 3600 * time.Millisecond},
		{time.Minute, time.Minute, 3600 * time.Millisecond},
	} {
		text := strings.ReplaceAll(completeFile, `"deadline":5000000000`, fmt.Sprintf(`"deadline":%d`, tc.deadline.Nanoseconds()))
		text = strings.Replace(text, `"ask_within":10000000000`, fmt.Sprintf(`"ask_within":%d`, tc.maxSilence.Nanoseconds()), 1)
		n, err := loadNode(t, text, nil)
		if err != nil || n.Module.MaxDiscoverySilence != tc.maxSilence || n.Module.Classes[0].Deadline != tc.deadline {
			t.Fatalf("%+v: %+v, %v", tc, n, err)
		}
		if l := n.Limits; l.DiscoverySilenceTimeout < 2500*time.Millisecond || l.DiscoverySilenceTimeout > 3*time.Second || l.LastAnswerWindow != tc.lastAnswer {
			t.Errorf("%+v: DiscoverySilenceTimeout %v, LastAnswerWindow %v", tc, l.DiscoverySilenceTimeout, l.LastAnswerWindow)
		}
	}
}

// If worker lists are pushed, a call that the discovery agent leaves unanswered and the backoff after it end within the
// grace of a drain. If lists are polled, a call may wait for its turn.
func TestDiscoveryCallEndsWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 30 * time.Second} {
		text := strings.Replace(completeFile, `"drain_grace":500000000`, fmt.Sprintf(`"drain_grace":%d`, grace.Nanoseconds()), 1)
		polled, err := loadNode(t, text, nil)
		if err != nil || polled.Limits.DiscoveryCallTimeout < 3*time.Second {
			t.Errorf("grace %v, polled lists: error %v, DiscoveryCallTimeout %v", grace, err, polled.Limits.DiscoveryCallTimeout)
		}
		n, err := loadNode(t, strings.Replace(text, `"discovery":"subscribe"`, `"discovery":"automatic"`, 1), nil)
		if err != nil || n.Module.DrainGrace != grace {
			t.Fatalf("grace %v: DrainGrace %v, error %v", grace, n.Module.DrainGrace, err)
		}
		if longest := n.Limits.DiscoveryCallTimeout + n.Limits.DiscoveryBackoffMax*3/2; longest >= min(grace*3/4, 5*time.Second) && grace < 20*time.Second {
			t.Errorf("grace %v: the next call is answered only after %v", grace, longest)
		}
	}
}
