package snmp_test

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gosnmp/gosnmp"
	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/snmp"
)

// mibNames returns the names of the MIB's objects by identifier, without the row.
func mibNames(t *testing.T) map[string]string {
	text, err := os.ReadFile("../../../mibs/GLADEPICK-MIB.txt")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]string{}
	identifiers := map[string]string{"enterprises": ".1.3.6.1.4.1"}
	definition := regexp.MustCompile(`(?s)\n(\w+)\s+(?:OBJECT-TYPE|OBJECT IDENTIFIER|MODULE-IDENTITY)\s.*?::= \{ (\w+)((?: \d+)+) \}`)
	for _, m := range definition.FindAllStringSubmatch(string(text), -1) {
		parent, known := identifiers[m[2]]
		if !known {
			t.Fatalf("%s is defined below %s, which is not defined", m[1], m[2])
		}
		identifiers[m[1]] = parent + strings.ReplaceAll(m[3], " ", ".")
		names[identifiers[m[1]]] = m[1]
	}
	return names
}

// TestWalkedObjectsAreUnchanged walks the objects of two instances, one of them without a process, and compares them
// with testdata/objects.txt: identifier, name in the MIB, type and value.
func TestWalkedObjectsAreUnchanged(t *testing.T) {
	names := mibNames(t)
	synctest.Test(t, func(t *testing.T) {
		a, conf := agent.New(agentConfig("n0", "n1")), agentConfig("n0", "n1")
		s := snmp.New(a, conf)
		s.Uptime = func() time.Duration { return 90 * time.Second }
		s.Statuses = func() []agent.Status {
			return []agent.Status{
				{Name: "n0", Listen: "127.0.0.1:5000", State: agent.Up, PID: 42, Restarts: 3, Since: time.Now().Add(-time.Minute), Counters: allCounters()},
				{Name: "n1", Listen: "127.0.0.1:5001", State: agent.Drained, LastEnd: "exited"},
			}
		}
		codec := gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: "public"}
		var text bytes.Buffer
		for current, done := ".1.3", false; !done; {
			p := gosnmp.SnmpPacket{Version: gosnmp.Version2c, Community: "public", PDUType: gosnmp.GetNextRequest, RequestID: 7,
				Variables: []gosnmp.SnmpPDU{{Name: current, Type: gosnmp.Null}}}
			message, err := p.MarshalMsg()
			if err != nil {
				t.Fatal(err)
			}
			answer := s.Answer(message)
			out, err := codec.SnmpDecodePacket(answer)
			if err != nil || len(out.Variables) != 1 {
				t.Fatal(out, err)
			}
			v := out.Variables[0]
			if b, ok := v.Value.([]byte); ok {
				v.Value = string(b)
			}
			name := names[v.Name[:strings.LastIndexByte(v.Name, '.')]]
			if name == "" && strings.HasPrefix(v.Name, "."+snmp.BaseOID) && v.Type != gosnmp.EndOfMibView {
				t.Errorf("the MIB has no name for %s", v.Name)
			}
			fmt.Fprintf(&text, "%s %s %v %v\n", v.Name, name, v.Type, v.Value)
			if current == ".1.3" {
				fmt.Fprintf(&text, "  as bytes: %x\n", answer)
			}
			current, done = v.Name, v.Type == gosnmp.EndOfMibView
		}
		golden.AssertBytes(t, text.Bytes(), "objects.txt")
	})
}
