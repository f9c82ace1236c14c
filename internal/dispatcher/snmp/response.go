package snmp

import (
	"log"
	"slices"

	"github.com/gosnmp/gosnmp"
)

// response builds the response to one request.
type response struct {
	request   *gosnmp.SnmpPacket
	packet    *gosnmp.SnmpPacket
	variables []variable // all variables of the server, sorted by identifier
}

// fail returns an error response with the variables of the request. index is the number of the faulty variable, counted
// from 1, or 0 for none.
func (r *response) fail(code gosnmp.SNMPError, index int) []byte {
	r.packet.Error, r.packet.ErrorIndex, r.packet.Variables = code, uint8(min(index, maxErrorIndex)), r.request.Variables
	b, err := r.packet.MarshalMsg()
	if err != nil {
		return nil
	}
	return b
}

// search returns the index of a variable and true, or the index at which it would be inserted and false.
func (r *response) search(o oid) (int, bool) {
	return slices.BinarySearchFunc(r.variables, o, func(v variable, o oid) int { return slices.Compare(v.oid, o) })
}

// append appends a variable with its value.
func (r *response) append(v variable) {
	r.packet.Variables = append(r.packet.Variables, gosnmp.SnmpPDU{Name: v.name, Type: v.kind, Value: v.value})
}

// appendException appends a variable with an exception in place of its value (RFC 3416, section 3).
func (r *response) appendException(o oid, exception gosnmp.Asn1BER) {
	r.packet.Variables = append(r.packet.Variables, gosnmp.SnmpPDU{Name: o.String(), Type: exception})
}

// add appends the variable with an identifier, as GET requires (RFC 3416, section 4.2.1).
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

// addNext appends the variable that follows an identifier, as GETNEXT requires (RFC 3416, section 4.2.2). It returns
// the identifier of that variable, or false if there is none.
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

// addBulk appends the variables that follow the identifiers, as GETBULK requires (RFC 3416, section 4.2.3): one
// variable for each of the first NonRepeaters identifiers, and up to MaxRepetitions for each of the others. It stops
// before it exceeds limit variables.
func (r *response) addBulk(requested []oid, limit int) {
	nonRepeaters := min(int(r.request.NonRepeaters), len(requested))
	for _, o := range requested[:nonRepeaters] {
		r.addNext(o)
	}
	repeated := requested[nonRepeaters:]
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

// encode returns the encoded response, which has at most limit bytes. A GETBULK response that is too long is shortened
// to fewer variables; any other becomes a tooBig error.
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
