package simadapter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"gladepick/internal/decision"
)

// twoWorkers returns a page with two workers.
func twoWorkers() []byte {
	le := binary.LittleEndian
	page := make([]byte, 2*entryBytes)
	le.PutUint64(page, 5)
	le.PutUint16(page[8:], 6)
	le.PutUint32(page[10:], math.Float32bits(1.5))
	page[14], page[15], page[16] = 1, 2, 3
	le.PutUint32(page[17:], 0x0badcafe)
	page[entryBytes+14] = 2
	return page
}

// everyEvent returns a frame with a record of each event code except stop.
func everyEvent() *frameBuilder {
	le := binary.LittleEndian
	b := (&frameBuilder{}).record(eventContext, inContext(3)).configure("classes.count=1\nkinds=a,b\n")
	offset := b.appendTail(string(twoWorkers()))
	b.record(eventPage, func(r []byte) {
		le.PutUint32(r, 4)
		le.PutUint32(r[4:], offset)
		le.PutUint32(r[8:], 2)
	})
	for kind := range listKinds {
		b.record(eventList, func(r []byte) {
			r[0] = byte(kind)
			le.PutUint32(r[5:], 4)
		})
	}
	fill := func(r []byte) { // each byte has the value of its position, so that a shifted field is detected
		for i := range r {
			r[i] = byte(i + 1)
		}
	}
	b.record(eventJob, fill)
	for _, code := range []uint16{10, 20, 30, 40, 50, 60, 70, 80} {
		b.record(eventOutcome, func(r []byte) {
			fill(r)
			le.PutUint16(r[9:], code)
			r[25] = 4
		})
	}
	b.record(eventHealthChecked, func(r []byte) {
		fill(r)
		le.PutUint16(r[12:], 10)
		r[14] = 1
	})
	b.record(eventProgress, fill).record(eventStreamStarted, fill).record(eventClientLeft, fill).record(eventTimer, fill)
	offset = b.appendTail("two w")
	b.record(eventPeerMessage, func(r []byte) {
		le.PutUint32(r, 9)
		le.PutUint32(r[4:], offset)
		le.PutUint32(r[8:], 5)
	})
	return b
}

// TestDecodingOfEventsIsUnchanged compares a frame with a record of each event, and the events that it decodes to, with
// testdata/events.txt.
func TestDecodingOfEventsIsUnchanged(t *testing.T) {
	b := everyEvent()
	m := &scriptedModule{}
	in := b.frame(time.Second)
	out, err := serveFrames(t, m, in)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "header %x\n", in[:headerBytes])
	for i := headerBytes; i < headerBytes+len(b.records); i += eventBytes {
		fmt.Fprintf(&text, "record %x\n", in[i:i+eventBytes])
	}
	fmt.Fprintf(&text, "tail %x\n", b.tail)
	for _, ev := range m.events {
		fmt.Fprintf(&text, "event %v\n", ev)
	}
	fmt.Fprintf(&text, "reply %x\n", out)
	golden.AssertBytes(t, text.Bytes(), "events.txt")
}

// TestEncodingOfActionsIsUnchanged compares the reply to a frame for two instances, with each kind of action, with
// testdata/actions.txt.
func TestEncodingOfActionsIsUnchanged(t *testing.T) {
	m := &scriptedModule{actions: []decision.Action{
		{Kind: decision.Send, Job: 0x01020304, Worker: 0x05060708, Timeout: 9 * time.Millisecond},
		{Kind: decision.Reject, Job: 0x01020304, RetryAfter: 50 * time.Millisecond},
		{Kind: decision.Fail, Job: 0x01020304},
		{Kind: decision.Cancel, Job: 0x01020304, Attempt: 2},
		{Kind: decision.SetTimer, Token: 77, Delay: time.Second},
		{Kind: decision.SetTimer, Token: 78, Delay: 72 * time.Minute},
		{Kind: decision.SetTimer, Token: 79, Delay: -1},
		{Kind: decision.Watch, On: true},
		{Kind: decision.Watch},
		{Kind: decision.Fetch},
		{Kind: decision.HealthCheck, Worker: 0x05060708},
		{Kind: decision.CloseIdle, Worker: 0x05060708},
		{Kind: decision.SendPeer, Peer: 1, Data: []byte("note")},
		{Kind: decision.Log, Data: []byte("words")},
	}}
	b := (&frameBuilder{}).record(eventContext, inContext(3)).configure("").record(eventTimer, nil).record(eventContext, inContext(5)).configure("").record(eventTimer, nil)
	out, err := serveFrames(t, m, b.frame(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	count := int(binary.LittleEndian.Uint32(out[4:]))
	fmt.Fprintf(&text, "header %x\n", out[:8])
	for i := range count {
		fmt.Fprintf(&text, "record %x\n", out[8+i*actionBytes:8+(i+1)*actionBytes])
	}
	fmt.Fprintf(&text, "tail %x\n", out[8+count*actionBytes:])
	golden.AssertBytes(t, text.Bytes(), "actions.txt")
}

// TestParsingOfSettingsIsUnchanged compares the parsed settings of a text with every path, and of a text with only the
// necessary ones, with testdata/settings.txt.
func TestParsingOfSettingsIsUnchanged(t *testing.T) {
	s, err := ParseSettings(everySetting)
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := ParseSettings("classes.count=1\ntenants.count=1\n")
	if err != nil {
		t.Fatal(err)
	}
	golden.AssertBytes(t, fmt.Appendf(nil, "%v\n%v\n", s, defaults), "settings.txt")
}

// everySetting has every path of the settings text.
const everySetting = `position=1
balancers=4
zone=2
kinds=a,b
zones=x,y,z
invariants.ask_within=10000000000
invariants.drain_grace=500000000
invariants.grace_to_answer=8000000
invariants.cold_from=0.3
invariants.warm_after=8900000000
invariants.fall_multiple=3
invariants.fall=1000000000
invariants.drain_close=800000000
invariants.full_unproven=true
goal.tail_part=0.3
goal.borne_misses=0.02
limits.conn_idle=5000000000
limits.max_attempts=3
limits.parallel_tries=true
limits.cancelling=true
limits.probes=true
limits.peers=true
limits.retry_after=true
limits.max_retry_after=2000000000
deductions.cross_zone=0.15
worth_by=work
over_share_worth=0.5
specifics.tells_start=true
specifics.progress=1000000000
specifics.class_kind=-1,1
specifics.class_priority=2,3
specifics.class_stretch=2.0,2.5
report.fields=x0,x1,q,rif,busy,fail_rate
report.how=piggyback
round=2000000
discovery=subscribe
classes.count=2
classes.0.aim=300000000
classes.0.aim_stretch=1.5
classes.0.deadline=5000000000
classes.0.window=7500000000
classes.0.value=2
classes.0.late_value=0.2
classes.0.stream=true
classes.0.bound_to=1
classes.0.zones_open=0,2
classes.0.effect=free
classes.0.group=all
classes.1.effect=guarded
classes.1.group=zone
tenants.count=2
tenants.0.portion=0.5
tenants.0.allowance_per_s=32
tenants.1.portion=0.25
`
