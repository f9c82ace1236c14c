package snmp

import (
	"log"
	"slices"

	"github.com/gosnmp/gosnmp"
)

// response gathers the variables of one answer.
type response struct {
	request   *gosnmp.SnmpPacket
	packet    *gosnmp.SnmpPacket
	variables []variable // all that there are, in order
}

// fail returns the answer that carries an error and the request's own variables; at counts them from 1.
func (r *response) fail(code gosnmp.SNMPError, at int) []byte {
	r.packet.Error, r.packet.ErrorIndex, r.packet.Variables = code, uint8(min(at, maxErrorIndex)), r.request.Variables
	b, err := r.packet.MarshalMsg()
	if err != nil {
		return nil
	}
	return b
}

// search finds a variable, or the place where it would be.
func (r *response) search(o oid) (int, bool) {
	return slices.BinarySearchFunc(r.variables, o, func(v variable, o oid) int { return slices.Compare(v.oid, o) })
}

// append adds a variable with its value.
func (r *response) append(v variable) {
	r.packet.Variables = append(r.packet.Variables, gosnmp.SnmpPDU{Name: v.name, Type: v.kind, Value: v.value})
}

// appendException adds what stands in place of a value (RFC 3416, section 3).
func (r *response) appendException(o oid, exception gosnmp.Asn1BER) {
	r.packet.Variables = append(r.packet.Variables, gosnmp.SnmpPDU{Name: o.String(), Type: exception})
}

// add adds the variable of an identifier (RFC 3416, section 4.2.1).
func (r *response) add(o oid) {
	i, found := r.search(o)
	switch {
	case found:
		r.append(r.variables[i])
	case i < len(r.variables) && sameObject(r.variables[i].oid, o) || i > 0 && sameObject(r.variables[i-1].oid, o):
		r.appendException(o, gosnmp.NoSuchInstance)
	default:
		r.appendException(o, gosnmp.NoSuchObject)
	}
}

// addNext adds the variable that follows an identifier (RFC 3416, section 4.2.2). It returns that one's identifier, and
// false where the list is at its end.
func (r *response) addNext(o oid) (oid, bool) {
	i, found := r.search(o)
	if found {
		i++
	}
	if i == len(r.variables) {
		r.appendException(o, gosnmp.EndOfMibView)
		return o, false
	}
	r.append(r.variables[i])
	return r.variables[i].oid, true
}

// addBulk adds what follows the identifiers: of the first ones one variable each, of the others as many as are asked for
// and as the limit allows (RFC 3416, section 4.2.3).
func (r *response) addBulk(asked []oid, limit int) {
	once := min(int(r.request.NonRepeaters), len(asked))
	for _, o := range asked[:once] {
		r.addNext(o)
	}
	repeated := asked[once:]
	for range r.request.MaxRepetitions {
		more := false
		for i, o := range repeated {
			next, ok := r.addNext(o)
			repeated[i] = next
			more = more || ok
		}
		if !more || len(r.packet.Variables)+len(repeated) > limit {
			break
		}
	}
}

// encode returns the answer in so many bytes at most. A bulk answer may be shorter than asked; any other that is too long
// is an error.
func (r *response) encode(limit int) []byte {
	for {
		b, err := r.packet.MarshalMsg()
		switch {
		case err != nil:
			log.Printf("snmp: %v", err)
			return r.fail(gosnmp.GenErr, 0)
		case len(b) <= limit:
			return b
		case r.request.PDUType != gosnmp.GetBulkRequest:
			r.request.Variables = nil
			return r.fail(gosnmp.TooBig, 0)
		}
		r.packet.Variables = r.packet.Variables[:len(r.packet.Variables)/2]
	}
}
