package simadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"gladepick/internal/decision"
)

func TestFrameWithoutRecordsIsAnswered(t *testing.T) {
	in, _ := hex.DecodeString("90bf68f5010000000400000000000000")
	out, err := serveFrames(t, &scriptedModule{}, in)
	if want := "0400000000000000"; err != nil || hex.EncodeToString(out) != want {
		t.Errorf("reply %x, error %v", out, err)
	}
}

// The records have the layout of the example in the description of the wire format.
func TestEventsDecode(t *testing.T) {
	b := (&frameBuilder{}).record(eventContext, inContext(3)).configure("")
	jobRecord, _ := hex.DecodeString("c4913a5d00000000640ad2557c3bf09190dbb60302000000001bb70000000000000000400000000001")
	b.record(eventJob, func(r []byte) { copy(r, jobRecord) })
	timerRecord, _ := hex.DecodeString("4d000000")
	b.record(eventTimer, func(r []byte) { copy(r, timerRecord) })
	outcomeRecord, _ := hex.DecodeString("c4913a5d01000000000a000000a0491a0100000000074a120302cdcccc3e00004040")
	b.record(eventOutcome, func(r []byte) { copy(r, outcomeRecord) })
	offset := b.appendTail("two w")
	b.record(eventPeerMessage, func(r []byte) {
		binary.LittleEndian.PutUint32(r, 9)
		binary.LittleEndian.PutUint32(r[4:], offset)
		binary.LittleEndian.PutUint32(r[8:], 5)
	})
	m := &scriptedModule{}
	if _, err := serveFrames(t, m, b.frame(time.Second)); err != nil {
		t.Fatal(err)
	}
	want := []decision.Event{
		{Kind: decision.EventJob, Job: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Deadline: 0x203b6db90, Hint: 12 * time.Millisecond,
			Slots: 2, HasHint: true},
		{Kind: decision.EventTimer, Token: 77},
		{Kind: decision.EventOutcome, Job: 0x5d3a91c4, JobEnded: true, Outcome: decision.OK, Duration: 0x11a49a0, Worker: 0x03124a07,
			Load: decision.Load{Count: 2, Values: [4]float64{float64(float32(0.4)), 3}}},
		{Kind: decision.EventPeerMessage, From: 9, Data: []byte("two w")},
	}
	if !reflect.DeepEqual(m.events, want) {
		t.Errorf("decoded\n%+v, want\n%+v", m.events, want)
	}
}

// A list must have the workers of the last page before it with the same number.
func TestListUsesLatestPageBeforeIt(t *testing.T) {
	b := (&frameBuilder{}).record(eventContext, inContext(0)).configure("")
	entry := func(id byte, state byte) string {
		e := make([]byte, entryBytes)
		binary.LittleEndian.PutUint64(e, 5)
		binary.LittleEndian.PutUint32(e[10:], math.Float32bits(1.5))
		e[14], e[15], e[16], e[17] = state, 2, 1, id
		return string(e)
	}
	for id := byte(1); id <= 2; id++ { // the second page replaces the first, which has the same number
		offset := b.appendTail(entry(id, id))
		b.record(eventPage, func(r []byte) {
			binary.LittleEndian.PutUint32(r[4:], offset)
			binary.LittleEndian.PutUint32(r[8:], 1)
		})
		b.record(eventList, func(r []byte) { r[0] = 2 })
	}
	b.record(eventList, nil)
	m := &scriptedModule{}
	if _, err := serveFrames(t, m, b.frame(1)); err != nil {
		t.Fatal(err)
	}
	want := decision.Entry{Worker: 1, Started: 5, Zone: 2, Kind: 1, Weight: 1.5, State: decision.Ready}
	if len(m.events) != 3 || m.events[0].Entries[0] != want || m.events[1].Entries[0].Worker != 2 ||
		m.events[1].Entries[0].State != decision.Draining || m.events[2].List != decision.ListFailed {
		t.Errorf("unexpected lists %+v", m.events)
	}
}

func TestActionsEncode(t *testing.T) {
	for want, a := range map[string]decision.Action{
		"4c00c4913a5d074a120300b4c40400000000000000000000": {Kind: decision.Send, Job: 0x5d3a91c4, Worker: 0x03124a07,
			Timeout: 80 * time.Millisecond},
		"42004d0000000065cd1d0000000000000000000000000000":         {Kind: decision.SetTimer, Token: 77, Delay: 500 * time.Millisecond},
		"430007000000000000000000000000000000000000000000":         {Kind: decision.Fail, Job: 7},
		"4a000700000040420f000000000000000000000000000000":         {Kind: decision.Reject, Job: 7, RetryAfter: time.Millisecond},
		"490007000000020000000000000000000000000000000000":         {Kind: decision.Cancel, Job: 7, Attempt: 2},
		"440001000000000000000000000000000000000000000000":         {Kind: decision.Watch, On: true},
		"450000000000000000000000000000000000000000000000":         {Kind: decision.Fetch},
		"4d0009000000000000000000000000000000000000000000":         {Kind: decision.HealthCheck, Worker: 9},
		"470009000000000000000000000000000000000000000000":         {Kind: decision.CloseIdle, Worker: 9},
		"4b00ffff000000000400000000000000000000000000000068692037": {Kind: decision.SendPeer, Peer: decision.AllPeers, Data: []byte("hi 7")},
		"4800000000000200000000000000000000000000000000006869":     {Kind: decision.Log, Data: []byte("hi")},
	} {
		var p reply
		p.reset()
		var out bytes.Buffer
		if err := errors.Join(p.encode(&a), p.writeTo(&out)); err != nil {
			t.Fatal(err)
		}
		// A Log has the offset and the length of its text from byte 2 on.
		if a.Kind == decision.Log {
			want = "48000000000002000000" + strings.Repeat("00", 14) + "6869"
		}
		if got := hex.EncodeToString(out.Bytes()[8:]); got != want {
			t.Errorf("action %d: %s, want %s", a.Kind, got, want)
		}
	}
	var p reply
	if p.encode(&decision.Action{}) == nil {
		t.Error("encoding an action without a kind returned no error")
	}
}

// The error of malformed input must name the frame and the position, on one line.
func TestErrorsNamePositionOfMalformedInput(t *testing.T) {
	good := (&frameBuilder{}).record(eventContext, inContext(1)).configure("").frame(1)
	replaceUint32 := func(at int, v uint32) []byte {
		out := bytes.Clone(good)
		binary.LittleEndian.PutUint32(out[at:], v)
		return out
	}
	withRecord := func(code uint16, fill func([]byte)) []byte {
		return (&frameBuilder{}).record(eventContext, inContext(1)).configure("").record(code, fill).frame(1)
	}
	for name, tc := range map[string]struct {
		input []byte
		want  string // part of the error
	}{
		"short header":    {good[:9], "frame 0: header cut off after 9 of 16 bytes"},
		"short body":      {good[:40], "frame 0: body cut off after 24 of 96 bytes"},
		"second frame":    {append(bytes.Clone(good), 1), "frame 1: header cut off after 1 of 16 bytes"},
		"length":          {replaceUint32(8, 3), "frame 0: length 3 is below"},
		"count":           {replaceUint32(12, 3), "frame 0: 3 records of 48 bytes do not fit into 96 bytes"},
		"huge length":     {replaceUint32(8, math.MaxUint32), "body cut off"},
		"clock":           {replaceUint32(4, math.MaxUint32), "clock value"},
		"no context":      {(&frameBuilder{}).record(eventTimer, nil).frame(1), "frame 0: record 0 (code 9): event before any context"},
		"not configured":  {(&frameBuilder{}).record(eventContext, inContext(4)).record(eventTimer, nil).frame(1), "instance 4 has not been configured"},
		"unknown code":    {withRecord(99, nil), "record 2 (code 99): unknown event code"},
		"unknown outcome": {withRecord(eventOutcome, func(r []byte) { r[9] = 11 }), "unknown outcome 11"},
		"load":            {withRecord(eventOutcome, func(r []byte) { r[9], r[25] = 10, 5 }), "load report of 5 values"},
		"list kind":       {withRecord(eventList, func(r []byte) { r[0] = 4 }), "unknown list kind 4"},
		"no page":         {withRecord(eventList, func(r []byte) { r[0] = 3 }), "list number 0 has no page"},
		"page number":     {withRecord(eventPage, func(r []byte) { r[0] = 16 }), "list number 16"},
		"tail":            {withRecord(eventPage, func(r []byte) { r[8] = 1 }), "run past the tail"},
		"settings": {(&frameBuilder{}).record(eventContext, inContext(1)).configure("balancers=x").frame(1),
			`setting balancers: "x" is not valid`},
	} {
		out, err := serveFrames(t, &scriptedModule{}, tc.input)
		if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", name, err, tc.want)
		}
		if name != "second frame" && len(out) > 0 {
			t.Errorf("%s: %d bytes of output, want none", name, len(out))
		}
	}
}

// A panic of an instance must become a fault action with its message, and must not end Serve.
func TestPanicBecomesFaultAction(t *testing.T) {
	in := (&frameBuilder{}).record(eventContext, inContext(3)).configure("").record(eventTimer, nil).frame(1)
	out, err := serveFrames(t, &scriptedModule{panics: true}, in)
	if err != nil || !bytes.Contains(out, []byte("panic of the module")) || binary.LittleEndian.Uint16(out[8+actionBytes:]) != actionFault {
		t.Errorf("reply %x, error %v", out, err)
	}
}

func TestStopRemovesInstance(t *testing.T) {
	m := &scriptedModule{actions: []decision.Action{{Kind: decision.Fetch}}}
	b := (&frameBuilder{}).record(eventContext, inContext(3)).configure("").record(eventTimer, nil).record(eventStop, nil).configure("").record(eventTimer, nil)
	out, err := serveFrames(t, m, b.frame(1))
	if err != nil || len(m.events) != 2 || binary.LittleEndian.Uint32(out[4:]) != 3 {
		t.Errorf("%d events handled, reply %x, error %v", len(m.events), out, err)
	}
	if _, err := serveFrames(t, m, (&frameBuilder{}).record(eventContext, inContext(3)).configure("").record(eventStop, nil).record(eventTimer, nil).frame(1)); err == nil {
		t.Error("an event for a stopped instance returned no error")
	}
}

// For any input, Serve must write only whole replies and return errors of one line, and the module must not panic.
func FuzzServe(f *testing.F) {
	f.Add((&frameBuilder{}).record(eventContext, inContext(1)).configure("classes.count=1\nkinds=a,b\n").record(eventJob, nil).record(eventTimer, nil).frame(1))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		var h Host
		if err := h.Serve(bytes.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error has several lines: %q", err)
		}
		if bytes.Contains(out.Bytes(), []byte("runtime error")) {
			t.Errorf("the module panicked")
		}
		for r := bytes.NewReader(out.Bytes()); ; {
			var length [4]byte
			if _, err := io.ReadFull(r, length[:]); err == io.EOF {
				break
			}
			n := int64(binary.LittleEndian.Uint32(length[:]))
			if _, err := io.CopyN(io.Discard, r, n); err != nil {
				t.Fatalf("reply is truncated: %v", err)
			}
		}
	})
}
