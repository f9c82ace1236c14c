package clienthttp

import (
	"strings"
	"testing"

	"gladepick/internal/dispatcher/config"
)

func TestMayBecomeHeadRejectsOtherDataEarly(t *testing.T) {
	for _, tc := range []struct {
		data string
		may  bool
	}{
		{"", true},
		{"P", true},
		{"POST", true},
		{"POST ", true},
		{"POST /x HTTP/1.1\r\n", true},
		{" POST", false},
		{"post /x", false},
		{"\x16\x03\x01", false},
		{strings.Repeat("A", methodBytes-1), true},
		{strings.Repeat("A", methodBytes), false},
		{strings.Repeat("A", methodBytes-1) + " ", true},
		{strings.Repeat("A", methodBytes) + " ", false},
	} {
		if may := mayBecomeHead([]byte(tc.data)); may != tc.may {
			t.Errorf("%q: mayBecomeHead = %v, want %v", tc.data, may, tc.may)
		}
	}
}

func TestAmbiguousBodyFramingIsRejected(t *testing.T) {
	l := newListener(config.Limits{BodyBytes: 10})
	for _, tc := range []struct {
		name    string
		fields  string
		status  int // 0 means that the head is accepted
		body    int64
		chunked bool
	}{
		{"no body", "", 0, 0, false},
		{"a length", "Content-Length: 10\r\n", 0, 10, false},
		{"a length with leading zeros", "content-length: 0004\r\n", 0, 4, false},
		{"chunks", "Transfer-Encoding: Chunked\r\n", 0, 0, true},
		{"a length beyond the limit", "Content-Length: 11\r\n", 413, 0, false},
		{"a length that is not a number", "Content-Length: 0x4\r\n", 400, 0, false},
		{"two equal lengths", "Content-Length: 4\r\nContent-Length: 4\r\n", 400, 0, false},
		{"both", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400, 0, false},
		{"another coding", "Transfer-Encoding: gzip\r\n", 501, 0, false},
	} {
		c := &clientConn{listener: l}
		rejection := c.checkHead([]byte("POST / HTTP/1.1\r\nHost: b\r\n" + tc.fields + "\r\n"))
		switch {
		case tc.status == 0 && rejection != nil:
			t.Errorf("%s: rejected with %v, want it accepted", tc.name, rejection)
		case tc.status != 0 && (rejection == nil || rejection.status != tc.status):
			t.Errorf("%s: rejected with %+v, want status %d", tc.name, rejection, tc.status)
		case c.bodyLeft != tc.body || c.chunked != tc.chunked:
			t.Errorf("%s: unexpected framing: %d bytes, chunked %v", tc.name, c.bodyLeft, c.chunked)
		}
	}
}

func TestPipelinedBytesAreBounded(t *testing.T) {
	l := newListener(config.Limits{HeadBytes: 3, BodyBytes: 5, AllBodiesBytes: 40})
	first, second := &clientConn{listener: l}, &clientConn{listener: l}
	first.bufferPipelined([]byte("12345678"))
	if first.overflowed || string(first.unchecked) != "12345678" || l.pipelinedBytes != 8 {
		t.Errorf("within the limits: %+v, %d bytes", first, l.pipelinedBytes)
	}
	second.bufferPipelined([]byte("123")) // 11 bytes in all, and a quarter of AllBodiesBytes is 10
	if !second.overflowed || second.unchecked != nil || l.pipelinedBytes != 8 {
		t.Errorf("beyond the limit on all connections: %+v, %d bytes", second, l.pipelinedBytes)
	}
	first.releasePipelined()
	if first.pipelinedBytes != 0 || l.pipelinedBytes != 0 {
		t.Errorf("after release: %d bytes of the connection and %d of all, want 0", first.pipelinedBytes, l.pipelinedBytes)
	}
	first.bufferPipelined([]byte("9"))
	if !first.overflowed || len(first.unchecked) != 8 {
		t.Errorf("beyond the size of a head and a body: %+v", first)
	}
}
