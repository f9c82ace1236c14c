// These tests run an agent with fake processes, and send it the requests of an SNMP manager.
package snmp_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/gosnmp/gosnmp"
	"pgregory.net/rapid"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/snmp"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same inputs in every run

var limits = config.AgentLimits{PollInterval: time.Second, RequestTimeout: 2 * time.Second, RestartBackoff: 100 * time.Millisecond, RestartBackoffMax: time.Second,
	StableAfter: 10 * time.Second, StopTimeout: 5 * time.Second, ReplyBytes: 1 << 20, DatagramBytes: 8 << 10, Variables: 64, RequestBytes: 1 << 10}

// process is a fake process that runs until it is terminated or killed.
type process struct{ end chan error }

func (p *process) PID() int         { return 42 }
func (p *process) Wait() error      { return <-p.end }
func (p *process) Reload() error    { return nil }
func (p *process) Kill() error      { p.end <- errors.New("killed"); return nil }
func (p *process) Terminate() error { p.end <- nil; return nil }

// agentConfig returns the configuration of an agent with instances of these names.
func agentConfig(names ...string) *config.Agent {
	conf := &config.Agent{Community: "public", Limits: limits}
	for i, name := range names {
		conf.Instances = append(conf.Instances, config.Instance{Name: name, Listen: fmt.Sprint("127.0.0.1:", 5000+i)})
	}
	return conf
}

// allCounters returns a value for each counter.
func allCounters() (out []dispatch.Count) {
	for i, name := range dispatch.CounterNames {
		out = append(out, dispatch.Count{Name: name, Value: int64(100 + i)})
	}
	return out
}

// runAgent runs an agent whose instances answer until the test ends. It returns once the agent has stored the counters
// of the instances.
func runAgent(t *testing.T, names ...string) (*agent.Agent, *config.Agent) {
	conf := agentConfig(names...)
	a := agent.New(conf)
	fetched := make(chan bool, 100)
	a.StartProcess = func(config.Instance) (agent.Process, error) { return &process{make(chan error, 1)}, nil }
	a.FetchCounters = func(context.Context, string) ([]dispatch.Count, error) { fetched <- true; return allCounters(), nil }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for range 2 * len(names) { // the second fetch begins after the result of the first is stored
		<-fetched
	}
	return a, conf
}

// A walk over UDP with GETNEXT and with GETBULK must return every variable in order, and a SET must be refused.
func TestWalksReturnEveryVariable(t *testing.T) {
	a, conf := runAgent(t, "n0", "n1")
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go snmp.New(a, conf).Serve(ctx, conn)
	m := &gosnmp.GoSNMP{Target: "127.0.0.1", Port: uint16(conn.LocalAddr().(*net.UDPAddr).Port), Community: "public",
		Version: gosnmp.Version2c, Timeout: time.Minute, MaxOids: 60, MaxRepetitions: 10}
	if err := m.Connect(); err != nil {
		t.Fatal(err)
	}
	defer m.Conn.Close()
	got, err := m.Get([]string{snmp.BaseOID + ".1.1.0", snmp.BaseOID + ".1.2.1.2.2", snmp.BaseOID + ".1.2.1.3.1", snmp.BaseOID + ".1.3.1.1.1",
		snmp.BaseOID + ".1.3.1.22.2", snmp.BaseOID + ".1.2.1.2.3", snmp.BaseOID + ".9.0"})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"2", "n1", "2", "100", "121", "", ""}
	kinds := []gosnmp.Asn1BER{gosnmp.Gauge32, gosnmp.OctetString, gosnmp.Integer, gosnmp.Counter64, gosnmp.Gauge32,
		gosnmp.NoSuchInstance, gosnmp.NoSuchObject}
	for i, v := range got.Variables {
		s := ""
		if b, ok := v.Value.([]byte); ok {
			s = string(b)
		} else if v.Value != nil {
			s = fmt.Sprint(v.Value)
		}
		if v.Type != kinds[i] || s != want[i] {
			t.Errorf("%s: %v %q, want %v %q", v.Name, v.Type, s, kinds[i], want[i])
		}
	}
	next, err := m.WalkAll("." + snmp.BaseOID)
	if err != nil {
		t.Fatal(err)
	}
	bulk, err := m.BulkWalkAll("." + snmp.BaseOID)
	if err != nil {
		t.Fatal(err)
	}
	rows := 1 + 2*(6+len(dispatch.CounterNames))
	if len(next) != rows || len(bulk) != rows {
		t.Errorf("walks return %d and %d variables, want %d", len(next), len(bulk), rows)
	}
	for i := range min(len(next), len(bulk)) {
		if next[i].Name != bulk[i].Name {
			t.Errorf("variable %d is %s with GETNEXT and %s with GETBULK", i, next[i].Name, bulk[i].Name)
		}
	}
	set, err := m.Set([]gosnmp.SnmpPDU{{Name: "." + snmp.BaseOID + ".1.1.0", Type: gosnmp.Integer, Value: 5}})
	if err != nil || set.Error != gosnmp.NotWritable {
		t.Errorf("response to SET: %v, %v", set, err)
	}
}

// For any datagram, the response must not exceed the size limit, and an intact request must be answered only if it has
// the right version, community and type.
func TestAnyDatagramGetsBoundedResponseOrNone(t *testing.T) {
	a, conf := runAgent(t, "n0", "n1")
	s := snmp.New(a, conf)
	rapid.Check(t, func(rt *rapid.T) {
		p := gosnmp.SnmpPacket{Version: rapid.SampledFrom([]gosnmp.SnmpVersion{gosnmp.Version1, gosnmp.Version2c}).Draw(rt, "version"),
			Community: rapid.SampledFrom([]string{"public", "private"}).Draw(rt, "community"), RequestID: 7,
			PDUType:      rapid.SampledFrom([]gosnmp.PDUType{gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest, gosnmp.SetRequest, gosnmp.GetResponse}).Draw(rt, "pdu"),
			NonRepeaters: rapid.Uint8().Draw(rt, "once"), MaxRepetitions: uint32(rapid.IntRange(0, 1<<20).Draw(rt, "rows"))}
		for range rapid.IntRange(0, 5).Draw(rt, "names") {
			name := rapid.SampledFrom([]string{".1.3", ".1.3.6.1.2.1.1", "." + snmp.BaseOID + ".1", "." + snmp.BaseOID + ".1.3.1.25.2", ".2.5"}).Draw(rt, "name")
			p.Variables = append(p.Variables, gosnmp.SnmpPDU{Name: name, Type: gosnmp.Null})
		}
		message, err := p.MarshalMsg()
		if err != nil {
			rt.Fatal(err)
		}
		intact := true
		for range rapid.IntRange(0, 3).Draw(rt, "spoiled") {
			i := rapid.IntRange(0, len(message)-1).Draw(rt, "at")
			message[i] = rapid.Byte().Draw(rt, "byte")
			intact = false
		}
		if rapid.Bool().Draw(rt, "cut") {
			message = message[:rapid.IntRange(0, len(message)).Draw(rt, "to")]
			intact = false
		}
		answer := s.Answer(message)
		if len(answer) > limits.DatagramBytes {
			rt.Errorf("response has %d bytes", len(answer))
		}
		expected := p.Version == gosnmp.Version2c && p.Community == "public" && p.PDUType != gosnmp.GetResponse
		if intact && (answer != nil) != expected {
			rt.Errorf("%v with %d variables: answered %v", p.PDUType, len(p.Variables), answer != nil)
		}
	})
}

// The MIB must define every counter under the number that the agent uses, or a manager shows it under a wrong name.
func TestMIBDefinesEveryCounter(t *testing.T) {
	text, err := os.ReadFile("../../../mibs/GLADEPICK-MIB.txt")
	if err != nil {
		t.Fatal(err)
	}
	for i, name := range dispatch.CounterNames {
		words := ""
		for part := range strings.SplitSeq(name, "_") {
			words += strings.ToUpper(part[:1]) + part[1:]
		}
		kind := "Counter64"
		if name == "open" || strings.HasPrefix(name, "workers_") {
			kind = "Gauge32"
		}
		object := regexp.MustCompile(fmt.Sprintf(`(?s)\ngp%s OBJECT-TYPE\n    SYNTAX +%s\n[^:]*::= \{ gpCounterEntry %d \}`, words, kind, i+1))
		if !object.Match(text) {
			t.Errorf("the MIB does not define %s as object %d", name, i+1)
		}
	}
	if n := strings.Count(string(text), "{ gpCounterEntry "); n != len(dispatch.CounterNames) {
		t.Errorf("the MIB has %d counters, want %d", n, len(dispatch.CounterNames))
	}
	if !strings.Contains(string(text), "::= { enterprises 32473 17 }") || !strings.HasSuffix(snmp.BaseOID, ".32473.17") {
		t.Error("the MIB has another root than the agent")
	}
}
