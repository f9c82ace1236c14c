// Package snmp is a read-only SNMPv2c agent for mibs/GLADEPICK-MIB.txt. It
// turns the agent's statuses into an ordered list of variables and answers
// GET, GETNEXT and GETBULK on UDP loopback; the messages are coded by gosnmp.
// It must never change anything, answer a foreign community, or send more than
// one datagram for one.
package snmp

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gosnmp/gosnmp"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
)

// Base is the MIB's root: below the enterprise number that RFC 5612 sets aside for documentation. An operator with a
// number of its own changes it here and in the MIB.
const Base = "1.3.6.1.4.1.32473.17"

// Below the base: the scalar, the table of instances, the table of their counters.
const (
	instanceCount = Base + ".1.1.0"
	instanceEntry = Base + ".1.2.1."
	counterEntry  = Base + ".1.3.1."
)

// oid is an object's identifier in a form that compares as SNMP orders them.
type oid []uint32

func parse(s string) (o oid, err error) {
	for part := range strings.SplitSeq(strings.TrimPrefix(s, "."), ".") {
		v, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return nil, err
		}
		o = append(o, uint32(v))
	}
	return o, nil
}

// variable is one instance of an object with its present value.
type variable struct {
	at    oid
	name  string
	kind  gosnmp.Asn1BER
	value any
}

// Server answers SNMP messages.
type Server struct {
	Statuses func() []agent.Status
	Uptime   func() time.Duration

	community string
	lim       config.AgentLimits
}

// New makes a server for an agent.
func New(a *agent.Agent, conf *config.Agent) *Server {
	return &Server{Statuses: a.Statuses, Uptime: a.Uptime, community: conf.Community, lim: conf.Limits}
}

// Serve answers datagrams until ctx ends.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buf := make([]byte, s.lim.DatagramBytes+1)
	for {
		n, from, err := conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if answer := s.Answer(buf[:n]); answer != nil {
			if _, err := conn.WriteTo(answer, from); err != nil {
				log.Printf("snmp: %v", err)
			}
		}
	}
}

// Answer gives the answer to a message; nil where none is due.
func (s *Server) Answer(message []byte) (answer []byte) {
	defer func() {
		// The codec reads bytes from outside; should it fail on some, that message alone goes unanswered.
		if r := recover(); r != nil {
			log.Printf("snmp: a message of %d bytes is not understood: %v", len(message), r)
			answer = nil
		}
	}()
	if len(message) > s.lim.DatagramBytes {
		return nil
	}
	codec := gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: s.community}
	in, err := codec.SnmpDecodePacket(message)
	if err != nil || in.Version != gosnmp.Version2c || in.Community != s.community {
		return nil
	}
	out := &gosnmp.SnmpPacket{Version: gosnmp.Version2c, Community: in.Community, PDUType: gosnmp.GetResponse, RequestID: in.RequestID}
	fail := func(code gosnmp.SNMPError, at int) []byte {
		out.Error, out.ErrorIndex, out.Variables = code, uint8(min(at, 255)), in.Variables
		b, err := out.MarshalMsg()
		if err != nil {
			return nil
		}
		return b
	}
	switch in.PDUType {
	case gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest:
	case gosnmp.SetRequest:
		return fail(gosnmp.NotWritable, 1)
	default:
		return nil
	}
	asked := make([]oid, len(in.Variables))
	for i, v := range in.Variables {
		if asked[i], err = parse(v.Name); err != nil {
			return fail(gosnmp.GenErr, i+1)
		}
	}
	if len(asked) > s.lim.Variables {
		return fail(gosnmp.TooBig, 0)
	}
	all := s.variables()
	put := func(o oid, next bool) (oid, bool) {
		i, found := slices.BinarySearchFunc(all, o, func(v variable, o oid) int { return slices.Compare(v.at, o) })
		if next && found {
			i++
		}
		switch {
		case (found || next) && i < len(all):
			out.Variables = append(out.Variables, gosnmp.SnmpPDU{Name: all[i].name, Type: all[i].kind, Value: all[i].value})
			return all[i].at, true
		case next:
			out.Variables = append(out.Variables, gosnmp.SnmpPDU{Name: text(o), Type: gosnmp.EndOfMibView})
		case i < len(all) && sameObject(all[i].at, o) || i > 0 && sameObject(all[i-1].at, o):
			out.Variables = append(out.Variables, gosnmp.SnmpPDU{Name: text(o), Type: gosnmp.NoSuchInstance})
		default:
			out.Variables = append(out.Variables, gosnmp.SnmpPDU{Name: text(o), Type: gosnmp.NoSuchObject})
		}
		return o, false
	}
	if in.PDUType != gosnmp.GetBulkRequest {
		for _, o := range asked {
			put(o, in.PDUType == gosnmp.GetNextRequest)
		}
	} else {
		once := min(int(in.NonRepeaters), len(asked))
		for _, o := range asked[:once] {
			put(o, true)
		}
		rows := asked[once:]
		for range in.MaxRepetitions {
			more := false
			for i, o := range rows {
				var ok bool
				if rows[i], ok = put(o, true); ok {
					more = true
				}
			}
			if !more || len(out.Variables)+len(rows) > s.lim.Variables {
				break
			}
		}
	}
	for {
		b, err := out.MarshalMsg()
		switch {
		case err != nil:
			log.Printf("snmp: %v", err)
			return fail(gosnmp.GenErr, 0)
		case len(b) <= s.lim.DatagramBytes:
			return b
		case in.PDUType != gosnmp.GetBulkRequest:
			in.Variables = nil
			return fail(gosnmp.TooBig, 0)
		}
		out.Variables = out.Variables[:len(out.Variables)/2] // a bulk answer may be shorter than asked
	}
}

// sameObject tells whether two identifiers differ in the row only: a table's column, or a scalar's zero.
func sameObject(a, b oid) bool {
	return len(a) > 0 && len(b) >= len(a)-1 && slices.Equal(a[:len(a)-1], b[:len(a)-1])
}

func text(o oid) string {
	var b strings.Builder
	for _, v := range o {
		b.WriteByte('.')
		b.WriteString(strconv.FormatUint(uint64(v), 10))
	}
	return b.String()
}

// Gauges are the counters that may fall; in the table of counters they are gauges.
func gauge(name string) bool { return name == "open" || strings.HasPrefix(name, "workers_") }

// variables lists everything there is now, in order.
func (s *Server) variables() (out []variable) {
	add := func(name string, kind gosnmp.Asn1BER, value any) {
		o, err := parse(name)
		if err != nil {
			panic(err)
		}
		out = append(out, variable{o, text(o), kind, value})
	}
	all := s.Statuses()
	ticks := func(d time.Duration) uint32 { return uint32(d / (10 * time.Millisecond)) }
	add("1.3.6.1.2.1.1.1.0", gosnmp.OctetString, "gladepick: job dispatchers and their agent")
	add("1.3.6.1.2.1.1.2.0", gosnmp.ObjectIdentifier, "."+Base)
	add("1.3.6.1.2.1.1.3.0", gosnmp.TimeTicks, ticks(s.Uptime()))
	add(instanceCount, gosnmp.Gauge32, uint32(len(all)))
	for i, st := range all {
		row := fmt.Sprintf(".%d", i+1)
		up := time.Duration(0)
		if !st.Since.IsZero() {
			up = time.Since(st.Since)
		}
		add(instanceEntry+"2"+row, gosnmp.OctetString, st.Name)
		add(instanceEntry+"3"+row, gosnmp.Integer, int(st.State))
		add(instanceEntry+"4"+row, gosnmp.OctetString, st.Listen)
		add(instanceEntry+"5"+row, gosnmp.Gauge32, uint32(st.PID))
		add(instanceEntry+"6"+row, gosnmp.Counter32, uint32(st.Restarts))
		add(instanceEntry+"7"+row, gosnmp.TimeTicks, ticks(up))
		for _, c := range st.Counters {
			column := slices.Index(dispatch.CounterNames, c.Name)
			if column < 0 {
				continue
			}
			name := counterEntry + strconv.Itoa(column+1) + row
			if gauge(c.Name) {
				add(name, gosnmp.Gauge32, uint32(c.Value))
			} else {
				add(name, gosnmp.Counter64, uint64(c.Value))
			}
		}
	}
	slices.SortFunc(out, func(a, b variable) int { return slices.Compare(a.at, b.at) })
	return out
}
