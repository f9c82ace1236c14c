// Package snmp is a read-only SNMPv2c agent (RFC 3416) for mibs/GLADEPICK-MIB.txt.
// It turns the statuses of package agent into an ordered list of variables and
// answers GET, GETNEXT and GETBULK on UDP loopback; the messages are coded by
// gosnmp.
//
// A Server changes nothing, does not answer a foreign community, and sends one
// datagram for one at most. Serve has one goroutine; Answer may be called on any.
//
// Start reading at Server.Answer.
package snmp

import (
	"context"
	"errors"
	"log"
	"net"
	"time"

	"github.com/gosnmp/gosnmp"

	"gladepick/internal/dispatcher/agent"
	"gladepick/internal/dispatcher/config"
)

// maxErrorIndex is the highest variable that an error can name: the codec has one byte for it.
const maxErrorIndex = 255

// Server answers SNMP messages. Its exported fields are set by New; tests put their own functions in their place.
type Server struct {
	Statuses func() []agent.Status
	Uptime   func() time.Duration

	community string
	limits    config.AgentLimits
}

// New makes a server for an agent.
func New(a *agent.Agent, conf *config.Agent) *Server {
	return &Server{Statuses: a.Statuses, Uptime: a.Uptime, community: conf.Community, limits: conf.Limits}
}

// Serve answers datagrams until ctx ends.
func (s *Server) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	buffer := make([]byte, s.limits.DatagramBytes+1)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if answer := s.Answer(buffer[:n]); answer != nil {
			if _, err := conn.WriteTo(answer, from); err != nil {
				log.Printf("snmp: %v", err)
			}
		}
	}
}

// Answer returns the answer to a message; nil where none is due.
func (s *Server) Answer(message []byte) (answer []byte) {
	defer func() {
		// The codec reads bytes from outside; should it fail on some, that message alone goes unanswered.
		if r := recover(); r != nil {
			log.Printf("snmp: a message of %d bytes is not understood: %v", len(message), r)
			answer = nil
		}
	}()
	if len(message) > s.limits.DatagramBytes {
		return nil
	}
	codec := gosnmp.GoSNMP{Version: gosnmp.Version2c, Community: s.community}
	request, err := codec.SnmpDecodePacket(message)
	if err != nil || request.Version != gosnmp.Version2c || request.Community != s.community {
		return nil
	}
	r := &response{request: request, packet: &gosnmp.SnmpPacket{
		Version:   gosnmp.Version2c,
		Community: request.Community,
		PDUType:   gosnmp.GetResponse,
		RequestID: request.RequestID,
	}}
	switch request.PDUType {
	case gosnmp.GetRequest, gosnmp.GetNextRequest, gosnmp.GetBulkRequest:
		return s.answerGet(r)
	case gosnmp.SetRequest:
		return r.fail(gosnmp.NotWritable, 1)
	}
	return nil
}

// answerGet answers a request for variables.
func (s *Server) answerGet(r *response) []byte {
	asked := make([]oid, len(r.request.Variables))
	for i, v := range r.request.Variables {
		var err error
		if asked[i], err = parseOID(v.Name); err != nil {
			return r.fail(gosnmp.GenErr, i+1)
		}
	}
	if len(asked) > s.limits.Variables {
		return r.fail(gosnmp.TooBig, 0)
	}
	r.variables = s.variables()
	switch r.request.PDUType {
	case gosnmp.GetBulkRequest:
		r.addBulk(asked, s.limits.Variables)
	case gosnmp.GetNextRequest:
		for _, o := range asked {
			r.addNext(o)
		}
	default:
		for _, o := range asked {
			r.add(o)
		}
	}
	return r.encode(s.limits.DatagramBytes)
}
