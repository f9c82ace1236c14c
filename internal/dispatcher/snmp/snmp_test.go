// These tests run an agent over processes that are not there, and ask it as an SNMP manager does.
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

func init() { flag.Set("rapid.seed", "20261201") } // the same steps in every run

var limits = config.AgentLimits{PollInterval: time.Second, RequestTimeout: 2 * time.Second, RestartBackoff: 100 * time.Millisecond, RestartBackoffMax: time.Second,
	StableAfter: 10 * time.Second, StopTimeout: 5 * time.Second, ReplyBytes: 1 << 20, DatagramBytes: 8 << 10, Variables: 64, RequestBytes: 1 << 10}

// process is an instance that runs until it is told to end.
type process struct{ end chan error }

func (p *process) PID() int         { return 42 }
func (p *process) Wait() error      { return <-p.end }
func (p *process) Reload() error    { return nil }
func (p *process) Kill() error      { p.end <- errors.New("killed"); return nil }
func (p *process) Terminate() error { p.end <- nil; return nil }

// agentConfig is an agent's file with instances of these names.
func agentConfig(names ...string) *config.Agent {
	conf := &config.Agent{Community: "public", Limits: limits}
	for i, name := range names {
		conf.Instances = append(conf.Instances, config.Instance{Name: name, Listen: fmt.Sprint("127.0.0.1:", 5000+i)})
	}
	return conf
}

// allCounters has a value for each counter.
func allCounters() (out []dispatch.Count) {
	for i, name := range dispatch.CounterNames {
		out = append(out, dispatch.Count{Name: name, Value: int64(100 + i)})
	}
	return out
}

// running is an agent whose instances answer, and that is asked over real loopback sockets.
func running(t *testing.T, names ...string) (*agent.Agent, *config.Agent) {
	conf := agentConfig(names...)
	a := agent.New(conf)
	looked := make(chan bool, 100)
	a.StartProcess = func(config.Instance) (agent.Process, error) { return &process{make(chan error, 1)}, nil }
	a.FetchCounters = func(context.Context, string) ([]dispatch.Count, error) { looked <- true; return allCounters(), nil }
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan bool)
	go func() { a.Run(ctx); close(over) }()
	t.Cleanup(func() { cancel(); <-over })
	for range 2 * len(names) { // the second look begins once the first has been noted
		<-looked
	}
	return a, conf
}

// A manager's own library walks the agent over UDP and must see every row in order.
func TestManagerWalks(t *testing.T) {
	a, conf := running(t, "n0", "n1")
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
	got, err := m.Get([]string{snmp.Base + ".1.1.0", snmp.Base + ".1.2.1.2.2", snmp.Base + ".1.2.1.3.1", snmp.Base + ".1.3.1.1.1",
		snmp.Base + ".1.3.1.22.2", snmp.Base + ".1.2.1.2.3", snmp.Base + ".9.0"})
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
			t.Errorf("%s: %v %q, wanted %v %q", v.Name, v.Type, s, kinds[i], want[i])
		}
	}
	next, err := m.WalkAll("." + snmp.Base)
	if err != nil {
		t.Fatal(err)
	}
	bulk, err := m.BulkWalkAll("." + snmp.Base)
	if err != nil {
		t.Fatal(err)
	}
	rows := 1 + 2*(6+len(dispatch.CounterNames))
	if len(next) != rows || len(bulk) != rows {
		t.Errorf("walks bring %d and %d variables, there are %d", len(next), len(bulk), rows)
	}
	for i := range min(len(next), len(bulk)) {
		if next[i].Name != bulk[i].Name {
			t.Errorf("variable %d is %s and %s", i, next[i].Name, bulk[i].Name)
		}
	}
	set, err := m.Set([]gosnmp.SnmpPDU{{Name: "." + snmp.Base + ".1.1.0", Type: gosnmp.Integer, Value: 5}})
	if err != nil || set.Error != gosnmp.NotWritable {
		t.Errorf("a set is answered %v, %v", set, err)
	}
}

// Whatever comes in, the server answers with one bounded message or not at all.
func TestAnyDatagram(t *testing.T) {
	a, conf := running(t, "n0", "n1")
	s := snmp.New(a, conf)
	rapid.Check(t, func(rt *rapid.T) {
		p := gosnmp.SnmpPacket{Version: rapid.SampledFrom([]gosnmp.SnmpVersion{gosnmp.Version1, gosnmp.Version2c}).Draw(rt, "version"),
			Community: rapid.SampledFrom([]string{"public", "private"}).Draw(rt, "community"), RequestID: 7,
			PDUType:      rapid.SampledFrom([]gosnmp.PDUType{gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest, gosnmp.SetRequest, gosnmp.GetResponse}).Draw(rt, "pdu"),
			NonRepeaters: rapid.Uint8().Draw(rt, "once"), MaxRepetitions: uint32(rapid.IntRange(0, 1<<20).Draw(rt, "rows"))}
		for range rapid.IntRange(0, 5).Draw(rt, "names") {
			name := rapid.SampledFrom([]string{".1.3", ".1.3.6.1.2.1.1", "." + snmp.Base + ".1", "." + snmp.Base + ".1.3.1.25.2", ".2.5"}).Draw(rt, "name")
			p.Variables = append(p.Variables, gosnmp.SnmpPDU{Name: name, Type: gosnmp.Null})
		}
		message, err := p.MarshalMsg()
		if err != nil {
			rt.Fatal(err)
		}
		whole := true
		for range rapid.IntRange(0, 3).Draw(rt, "spoiled") {
			i := rapid.IntRange(0, len(message)-1).Draw(rt, "at")
			message[i] = rapid.Byte().Draw(rt, "byte")
			whole = false
		}
		if rapid.Bool().Draw(rt, "cut") {
			message = message[:rapid.IntRange(0, len(message)).Draw(rt, "to")]
			whole = false
		}
		answer := s.Answer(message)
		if len(answer) > limits.DatagramBytes {
			rt.Errorf("an answer of %d bytes", len(answer))
		}
		due := p.Version == gosnmp.Version2c && p.Community == "public" && p.PDUType != gosnmp.GetResponse
		if whole && (answer != nil) != due {
			rt.Errorf("%v with %d names: answered %v", p.PDUType, len(p.Variables), answer != nil)
		}
	})
}

// The MIB names every counter, in the order that the agent numbers them by.
func TestMIBNamesEveryCounter(t *testing.T) {
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
			t.Errorf("the MIB does not have %s as object %d", name, i+1)
		}
	}
	if n := strings.Count(string(text), "{ gpCounterEntry "); n != len(dispatch.CounterNames) {
		t.Errorf("the MIB has %d counters, the agent %d", n, len(dispatch.CounterNames))
	}
	if !strings.Contains(string(text), "::= { enterprises 32473 17 }") || !strings.HasSuffix(snmp.Base, ".32473.17") {
		t.Error("the MIB stands at another place than the agent's")
	}
}
