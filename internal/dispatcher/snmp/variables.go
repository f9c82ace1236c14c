package snmp

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gosnmp/gosnmp"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/dispatch"
)

// BaseOID is the object identifier of the MIB's root. It uses the enterprise number that RFC 5612 reserves for
// documentation. An operator with an enterprise number replaces it here and in the MIB.
const BaseOID = "1.3.6.1.4.1.32473.17"

// Identifiers below BaseOID: the scalar, the entry of the instance table, and the entry of the counter table.
const (
	instanceCount = BaseOID + ".1.1.0"
	instanceEntry = BaseOID + ".1.2.1."
	counterEntry  = BaseOID + ".1.3.1."
)

// The supported objects of the system group of RFC 3418.
const (
	sysDescr    = "1.3.6.1.2.1.1.1.0"
	sysObjectID = "1.3.6.1.2.1.1.2.0"
	sysUpTime   = "1.3.6.1.2.1.1.3.0"
)

// Columns of the instance table. Column 1 is the index, which is not accessible.
const (
	columnName     = "2"
	columnState    = "3"
	columnListen   = "4"
	columnPID      = "5"
	columnRestarts = "6"
	columnUpTime   = "7"
)

// tick is the unit of the type TimeTicks.
const tick = 10 * time.Millisecond

// oid is an object identifier. slices.Compare orders identifiers as SNMP does.
type oid []uint32

func parseOID(s string) (o oid, err error) {
	for part := range strings.SplitSeq(strings.TrimPrefix(s, "."), ".") {
		v, err := strconv.ParseUint(part, 10, 32)
		if err != nil {
			return nil, err
		}
		o = append(o, uint32(v))
	}
	return o, nil
}

// String returns the identifier in dotted form, with a leading dot.
func (o oid) String() string {
	var b strings.Builder
	for _, v := range o {
		b.WriteByte('.')
		b.WriteString(strconv.FormatUint(uint64(v), 10))
	}
	return b.String()
}

// sameObject reports whether two identifiers name the same object, that is, the same column of a table or the same
// scalar: they differ at most in the row.
func sameObject(a, b oid) bool {
	return len(a) > 0 && len(b) >= len(a)-1 && slices.Equal(a[:len(a)-1], b[:len(a)-1])
}

// variable is one instance of an object with its current value.
type variable struct {
	oid   oid
	name  string // oid.String()
	kind  gosnmp.Asn1BER
	value any // of the Go type that gosnmp requires for kind
}

// variableList collects variables in any order.
type variableList []variable

// add appends a variable. It panics if the identifier is invalid, which would be a bug in this package.
func (l *variableList) add(identifier string, kind gosnmp.Asn1BER, value any) {
	o, err := parseOID(identifier)
	if err != nil {
		panic(err)
	}
	*l = append(*l, variable{o, o.String(), kind, value})
}

// addTicks appends a variable of type TimeTicks.
func (l *variableList) addTicks(identifier string, d time.Duration) {
	l.add(identifier, gosnmp.TimeTicks, uint32(d/tick))
}

// addInstance appends the variables of one instance. row is its row number with a leading dot.
func (l *variableList) addInstance(s agent.Status, row string) {
	up := time.Duration(0)
	if !s.Since.IsZero() {
		up = time.Since(s.Since)
	}
	l.add(instanceEntry+columnName+row, gosnmp.OctetString, s.Name)
	l.add(instanceEntry+columnState+row, gosnmp.Integer, int(s.State))
	l.add(instanceEntry+columnListen+row, gosnmp.OctetString, s.Listen)
	l.add(instanceEntry+columnPID+row, gosnmp.Gauge32, uint32(s.PID))
	l.add(instanceEntry+columnRestarts+row, gosnmp.Counter32, uint32(s.Restarts))
	l.addTicks(instanceEntry+columnUpTime+row, up)
	for _, c := range s.Counters {
		column := slices.Index(dispatch.CounterNames, c.Name)
		if column < 0 {
			continue
		}
		identifier := counterEntry + strconv.Itoa(column+1) + row
		if isGauge(c.Name) {
			l.add(identifier, gosnmp.Gauge32, uint32(c.Value))
		} else {
			l.add(identifier, gosnmp.Counter64, uint64(c.Value))
		}
	}
}

// isGauge reports whether the value of a counter can decrease.
func isGauge(name string) bool { return name == "open" || strings.HasPrefix(name, "workers_") }

// variables returns all variables with their current values, sorted by identifier.
func (s *Server) variables() []variable {
	var list variableList
	statuses := s.Statuses()
	list.add(sysDescr, gosnmp.OctetString, "gladepick: job dispatchers and their agent")
	list.add(sysObjectID, gosnmp.ObjectIdentifier, "."+BaseOID)
	list.addTicks(sysUpTime, s.Uptime())
	list.add(instanceCount, gosnmp.Gauge32, uint32(len(statuses)))
	for i, status := range statuses {
		list.addInstance(status, fmt.Sprintf(".%d", i+1))
	}
	slices.SortFunc(list, func(a, b variable) int { return slices.Compare(a.oid, b.oid) })
	return list
}
