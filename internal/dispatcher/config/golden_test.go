package config_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/config"
)

// namedValue is a value that was read. Its name is independent of the Go names, so that the files in testdata need no
// change when those are renamed.
type namedValue struct {
	name  string
	value any
}

func writeValues(out *bytes.Buffer, title string, values []namedValue) {
	fmt.Fprintf(out, "== %s ==\n", title)
	for _, v := range values {
		fmt.Fprintf(out, "%s = %v\n", v.name, v.value)
	}
}

func limitValues(l *config.Limits) []namedValue {
	return []namedValue{
		{"cores", l.Cores},
		{"memory_mb", l.MemoryMB},
		{"sockets", l.Sockets},
		{"portal_conns", l.ClientConns},
		{"portal_fresh", l.ClientConnsWithoutHead},
		{"portal_spare", l.SpareClientConns},
		{"floor_conns", l.WorkerConns},
		{"roster_conns", l.DiscoveryConns},
		{"body", l.BodyBytes},
		{"bodies", l.AllBodiesBytes},
		{"head", l.HeadBytes},
		{"line", l.LineBytes},
		{"roster", l.WorkerListBytes},
		{"workers", l.Workers},
		{"open_jobs", l.OpenJobs},
		{"mailbox", l.QueuedEvents},
		{"late_reads", l.TrailingBytes},
		{"answer_room", l.AnswerReserve},
		{"retry_after", l.RetryAfter},
		{"most_patience", l.MaxJobTimeout},
		{"connect", l.ConnectTimeout},
		{"worker_idle", l.WorkerIdleTimeout},
		{"client_idle", l.ClientIdleTimeout},
		{"read_head", l.ReadTimeout},
		{"linger", l.LingerTimeout},
		{"linger_bytes", l.LingerBytes},
		{"tail_wait", l.TrailingTimeout},
		{"late_answer", l.LateAnswerWindow},
		{"roster_call", l.DiscoveryCallTimeout},
		{"roster_silent", l.DiscoverySilenceTimeout},
		{"roster_retry", l.DiscoveryBackoff},
		{"roster_retry_max", l.DiscoveryBackoffMax},
		{"drain_grace", l.DrainGrace},
		{"farewell", l.DrainDelay},
		{"last_accept", l.LastAcceptWindow},
		{"last_answer", l.LastAnswerWindow},
		{"remember", l.OutcomeRetention},
		{"remembered", l.RetainedOutcomes},
		{"remembered_bytes", l.RetainedOutcomeBytes},
		{"reconnect", l.BrokerBackoff},
		{"reconnect_max", l.BrokerBackoffMax},
		{"confirm", l.ConfirmTimeout},
		{"capture_rows", l.CaptureQueueRows},
		{"capture_group", l.CaptureGroupRows},
		{"capture_retry", l.CaptureRetryDelay},
		{"peer_reads", l.PeerDatagramsPerSecond},
		{"peer_strangers", l.UnknownPeerDatagramsPerSecond},
		{"peer_mailbox", l.QueuedPeerDatagrams},
		{"peer_bytes", l.PeerBytesPerSecond},
		{"peer_farewell", l.PeerLeaveTimeout},
		{"copy_frame", l.ReplicaFrameBytes},
		{"copy_queue", l.ReplicaQueueBytes},
		{"copy_dial", l.ReplicaDialTimeout},
		{"copy_retry", l.ReplicaRetryDelay},
		{"lease_room", l.LeaseReserve},
		{"lease_look", l.LeasePollInterval},
		{"lease_linger", l.LeaseNotifyWindow},
		{"leases_moved", l.LeaseTransferBatch},
		{"leases_taken", l.LeaseSubmitBatch},
		{"lease_round", l.LeaseRoundInterval},
		{"lease_farewell", l.LeaseShutdownTimeout},
		{"lease_orphan", l.LeaseOrphanDelay},
	}
}

func nodeValues(n *config.Node) []namedValue {
	return []namedValue{
		{"name", n.Name}, {"listen", n.Listen}, {"discovery", n.Discovery}, {"seed", n.Seed}, {"known", n.KnownWorkers}, {"module", n.Module},
		{"classes", n.Classes}, {"tenants", n.Tenants}, {"zones", n.Zones}, {"kinds", n.Kinds}, {"load_fields", n.LoadFields},
		{"zone_name", n.ZoneName()},
	}
}

func peerValues(peers []config.Peer) (out []string) {
	for _, p := range peers {
		out = append(out, fmt.Sprintf("%q at %v", p.Name, p.Address))
	}
	return out
}

// shippedFile reads one of the operator's files in deploy.
func shippedFile(t *testing.T, name string) string {
	text, err := os.ReadFile("../../../deploy/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withPeers is the platform's file of a deployment that permits messages among dispatchers.
var withPeers = strings.Replace(completeFile, `"max_attempts":3`, `"max_attempts":3,"peers":true`, 1)

// testdata/node.txt holds the values read from the platform's file and the settings: with all settings, with only the
// required ones, and with pushed worker lists, among others.
func TestNodeValuesMatchGoldenFile(t *testing.T) {
	var out bytes.Buffer
	for _, tc := range []struct{ title, text string }{
		{"whole", completeFile},
		{"least", `{"listen":"127.0.0.1:5000","seed":"1"}`},
		{"pushed lists", strings.Replace(completeFile, `"discovery":"subscribe"`, `"discovery":"automatic"`, 1)},
		{"small", strings.Replace(completeFile, `"cores":1.0,"memory_mb":192,"sockets":1024`, `"cores":0.5,"memory_mb":64,"sockets":256`, 1)},
		{"with known workers", strings.Replace(completeFile, `"instances":[]`, `"instances":[{"instanceId":"s-00000001","hostPort":"127.0.1.1:5000",`+
			`"zone":"montreal","machineType":"std-2c","cell":3,"lifecycle":"ready","weight":1.5,"startedAtMs":77}]`, 1)},
	} {
		n, err := loadNode(t, tc.text, nil)
		if err != nil {
			t.Fatal(tc.title, err)
		}
		writeValues(&out, tc.title, nodeValues(n))
		writeValues(&out, tc.title+", limits", limitValues(&n.Limits))
	}
	golden.AssertBytes(t, out.Bytes(), "node.txt")
}

// testdata/operator.txt holds the values read from the operator's files in deploy.
func TestOperatorFileValuesMatchGoldenFile(t *testing.T) {
	var out bytes.Buffer
	amqp := shippedFile(t, "amqp.toml")
	worker := strings.NewReplacer("# [[amqp.worker]]", "[[amqp.worker]]", "# id", "id", "# queue", "queue", "# zone", "zone", "# kind", "kind").Replace(amqp)
	for _, text := range []string{amqp, worker, strings.Replace(amqp, "prefetch", "# prefetch", 1)} {
		n, err := loadNode(t, completeFile, map[string]string{"NODE_AMQP": writeFile(t, "amqp.toml", text)})
		if err != nil {
			t.Fatal(err)
		}
		a := n.AMQP
		writeValues(&out, "amqp.toml", []namedValue{{"url", a.URL}, {"jobs", a.JobQueue}, {"prefetch", a.Prefetch}})
		for _, w := range a.Workers {
			writeValues(&out, "amqp.toml, worker", []namedValue{{"id", w.ID}, {"queue", w.Queue}, {"zone", w.Zone}, {"kind", w.Kind}, {"cell", w.Cell}})
		}
	}
	members, promises := writeFile(t, "members.toml", shippedFile(t, "members.toml")), writeFile(t, "promises.toml", shippedFile(t, "promises.toml"))
	n, err := loadNode(t, withPeers, map[string]string{"NODE_MEMBERS": members, "NODE_PROMISES": promises})
	if err != nil {
		t.Fatal(err)
	}
	writeMembers(&out, "members.toml", n.Membership)
	durable := n.DurableJobs
	writeValues(&out, "promises.toml", []namedValue{{"listen", durable.Listen}, {"peers", peerValues(durable.Peers)}, {"groups", durable.Groups}, {"copies", durable.Replicas}, {"keep", durable.Retention},
		{"skew", durable.MaxClockSkew}, {"most", durable.MaxJobs}, {"events", durable.Events}, {"crash_at", durable.CrashAt}, {"crash_on", durable.CrashOccurrence}, {"stops", durable.CrashByStop}})
	withoutNames := strings.Replace(withPeers, `"settings":`, `"peers":["127.0.0.1:7400","127.0.0.1:7401"],"peer_listen":"127.0.0.1:7400","settings":`, 1)
	if n, err = loadNode(t, withoutNames, map[string]string{"NODE_MEMBERS": writeFile(t, "members.toml", "[members]\n")}); err != nil {
		t.Fatal(err)
	}
	writeMembers(&out, "an empty members.toml", n.Membership)
	a, err := config.LoadAgent("../../../deploy/agent.toml")
	if err != nil {
		t.Fatal(err)
	}
	writeValues(&out, "agent.toml", []namedValue{{"control", a.Control}, {"program", a.Program}, {"snmp", a.SNMP}, {"community", a.Community},
		{"instances", a.Instances}, {"limits", a.Limits}, {"default_control", config.DefaultControl}})
	fmt.Fprintf(&out, "== crash points ==\n%v\n", config.CrashPoints)
	golden.AssertBytes(t, out.Bytes(), "operator.txt")
}

func writeMembers(out *bytes.Buffer, title string, m *config.Membership) {
	writeValues(out, title, []namedValue{{"listen", m.Listen}, {"at", m.Advertise}, {"peers", peerValues(m.Peers)}, {"learn", m.LearnNames}, {"period", m.ProbeInterval},
		{"bear", m.SuspicionTimeout}, {"weight", m.Weight}, {"version", m.Version}, {"events", m.Events}})
}

// testdata/faults.txt holds the errors about invalid files. Operators search for these texts.
func TestErrorTextsMatchGoldenFile(t *testing.T) {
	var out bytes.Buffer
	record := func(title string, err error) {
		if err == nil {
			t.Errorf("%s: no error", title)
			return
		}
		text := err.Error()
		// The directory differs from run to run.
		if at := strings.Index(text, "/"); at >= 0 && strings.Contains(text, ".toml") {
			end := strings.LastIndex(text[:strings.Index(text, ".toml")], "/")
			text = text[:at] + "DIR" + text[end:]
		}
		fmt.Fprintf(&out, "%s: %s\n", title, text)
	}
	for _, replacement := range [][2]string{
		{`"listen":"127.0.0.1:5000"`, `"listen":"here"`}, {`"discovery":"127.0.0.1:8500"`, `"discovery":"there"`}, {`"seed":"8c`, `"seed":"x`},
		{`"cores":1.0`, `"cores":0`}, {`"cores":1.0`, `"cores":"one"`}, {`"memory_mb":192`, `"memory_mb":1`}, {`"sockets":1024`, `"sockets":3`},
		{`"name":"enrol"`, `"name":"seat-check"`}, {`"name":"univ-gaspesie"`, `"name":""`},
	} {
		_, err := loadNode(t, strings.Replace(completeFile, replacement[0], replacement[1], 1), nil)
		record(replacement[1], err)
	}
	for _, tc := range []struct{ variable, file, from, to string }{
		{"NODE_AMQP", "amqp.toml", "amqp://", "http://"}, {"NODE_AMQP", "amqp.toml", "prefetch = 128", "prefetch = 100000"}, {"NODE_AMQP", "amqp.toml", "prefetch", "fetch"},
		{"NODE_AMQP", "amqp.toml", "registration.jobs", ""}, {"NODE_MEMBERS", "members.toml", "period_ms = 500", "period_ms = 5"},
		{"NODE_MEMBERS", "members.toml", "bear_ms = 3000", "bear_ms = 3"}, {"NODE_MEMBERS", "members.toml", "127.0.0.1:7401", "x"},
		{"NODE_MEMBERS", "members.toml", "weight = 1.0", "weight = -1.0"}, {"NODE_PROMISES", "promises.toml", "copies = 3", "copies = 2"},
		{"NODE_PROMISES", "promises.toml", "groups = 16", "groups = 0"}, {"NODE_PROMISES", "promises.toml", "keep_s = 600", "keep_s = 0"},
		{"NODE_PROMISES", "promises.toml", "skew_ms = 250", "skew_ms = 9000"}, {"NODE_PROMISES", "promises.toml", "most = 100000", "most = 0"},
		{"NODE_PROMISES", "promises.toml", "listen = \"127.0.0.1:7500\"", "listen = \"\""},
	} {
		env := map[string]string{tc.variable: writeFile(t, tc.file, strings.Replace(shippedFile(t, tc.file), tc.from, tc.to, 1))}
		if tc.variable == "NODE_PROMISES" {
			env["NODE_MEMBERS"] = writeFile(t, "members.toml", shippedFile(t, "members.toml"))
		}
		_, err := loadNode(t, withPeers, env)
		record(tc.to, err)
	}
	golden.AssertBytes(t, out.Bytes(), "faults.txt")
}
