package clienthttp

import (
	"strings"
	"testing"

	"gladepick/internal/dispatcher/config"
)

func TestMayBecomeHead(t *testing.T) {
	for _, k := range []struct {
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
		if may := mayBecomeHead([]byte(k.data)); may != k.may {
			t.Errorf("%q: %v, want %v", k.data, may, k.may)
		}
	}
}

func TestFramingOfBodies(t *testing.T) {
	l := newListener(config.Limits{BodyBytes: 10})
	for _, k := range []struct {
		name    string
		fields  string
		status  int // 0: the head is accepted
		body    int64
		chunked bool
	}{
		{"no body", "", 0, 0, false},
		{"a length", "Content-Length: 10\r\n", 0, 10, false},
		{"a length with leading zeros", "content-length: 0004\r\n", 0, 4, false},
		{"chunks", "Transfer-Encoding: Chunked\r\n", 0, 0, true},
		{"a length beyond the limit", "Content-Length: 11\r\n", 413, 0, false},
		{"a length that is no number", "Content-Length: 0x4\r\n", 400, 0, false},
		{"two lengths that are alike", "Content-Length: 4\r\nContent-Length: 4\r\n", 400, 0, false},
		{"both", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", 400, 0, false},
		{"another coding", "Transfer-Encoding: gzip\r\n", 501, 0, false},
	} {
		c := &clientConn{listener: l}
		rejection := c.checkHead([]byte("POST / HTTP/1.1\r\nHost: b\r\n" + k.fields + "\r\n"))
		switch {
		case k.status == 0 && rejection != nil:
			t.Errorf("%s: %v", k.name, rejection)
		case k.status != 0 && (rejection == nil || rejection.status != k.status):
			t.Errorf("%s: %+v, want status %d", k.name, rejection, k.status)
		case c.bodyLeft != k.body || c.chunked != k.chunked:
			t.Errorf("%s: %d bytes, chunked %v", k.name, c.bodyLeft, c.chunked)
		}
	}
}

func TestEarlyBytesAreKeptWithinLimits(t *testing.T) {
	l := newListener(config.Limits{HeadBytes: 3, BodyBytes: 5, AllBodiesBytes: 40})
	first, second := &clientConn{listener: l}, &clientConn{listener: l}
	first.keepEarly([]byte("12345678"))
	if first.overflowed || string(first.unchecked) != "12345678" || l.earlyBytes != 8 {
		t.Errorf("within the limits: %+v, %d bytes", first, l.earlyBytes)
	}
	second.keepEarly([]byte("123")) // 11 of all, and a quarter of 40 may be
	if !second.overflowed || second.unchecked != nil || l.earlyBytes != 8 {
		t.Errorf("beyond the limit on all: %+v, %d bytes", second, l.earlyBytes)
	}
	first.releaseEarly()
	if first.earlyBytes != 0 || l.earlyBytes != 0 {
		t.Errorf("released: %d and %d bytes", first.earlyBytes, l.earlyBytes)
	}
	first.keepEarly([]byte("9"))
	if !first.overflowed || len(first.unchecked) != 8 {
		t.Errorf("beyond a head and a body: %+v", first)
	}
}
