// Package snmp implements a read-only SNMPv2c agent (RFC 3416) for mibs/GLADEPICK-MIB.txt. It converts the statuses of
// package agent to an ordered list of variables, and answers GET, GETNEXT and GETBULK over UDP on loopback. Package
// gosnmp encodes and decodes the messages.
//
// A Server changes nothing, ignores requests with another community, and sends at most one datagram per request. Serve
// uses the goroutine of its caller; Answer is safe for concurrent use.
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

// maxErrorIndex is the highest index of a variable in an error response, because gosnmp encodes the index in one byte.
const maxErrorIndex = 255

// Server answers SNMP messages. New sets the exported fields; tests replace them.
type Server struct {
	Statuses func() []agent.Status // statuses of the instances, one row each
	Uptime   func() time.Duration  // time since the agent's start

	community string
	limits    config.AgentLimits
}

// New returns a server for an agent.
func New(a *agent.Agent, conf *config.Agent) *Server {
	return &Server{Statuses: a.Statuses, Uptime: a.Uptime, community: conf.Community, limits: conf.Limits}
}

// Serve answers the datagrams of conn until ctx ends, and then closes conn.
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

// Answer returns the encoded response to a message, or nil if the message must not be answered.
func (s *Server) Answer(message []byte) (answer []byte) {
	defer func() {
		// A panic of the codec on malformed input must not end the agent: only this message stays unanswered.
		if r := recover(); r != nil {
			log.Printf("snmp: decoding a message of %d bytes panicked: %v", len(message), r)
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

// answerGet returns the response to a GET, GETNEXT or GETBULK request.
func (s *Server) answerGet(r *response) []byte {
	requested := make([]oid, len(r.request.Variables))
	for i, v := range r.request.Variables {
		var err error
		if requested[i], err = parseOID(v.Name); err != nil {
			return r.fail(gosnmp.GenErr, i+1)
		}
	}
	if len(requested) > s.limits.Variables {
		return r.fail(gosnmp.TooBig, 0)
	}
	r.variables = s.variables()
	switch r.request.PDUType {
	case gosnmp.GetBulkRequest:
		r.addBulk(requested, s.limits.Variables)
	case gosnmp.GetNextRequest:
		for _, o := range requested {
			r.addNext(o)
		}
	default:
		for _, o := range requested {
			r.add(o)
		}
	}
	return r.encode(s.limits.DatagramBytes)
}
