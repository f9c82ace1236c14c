package simadapter

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"gladepick/internal/decision"
)

// frameBuilder encodes a frame of events.
type frameBuilder struct{ records, tail []byte }

// rec appends a record. fill, if not nil, sets the bytes after the code.

func (b *frameBuilder) record(code uint16, fill func([]byte)) *frameBuilder {
	record := make([]byte, eventBytes)
	binary.LittleEndian.PutUint16(record, code)
	if fill != nil {
		fill(record[2:])
	}
	b.records = append(b.records, record...)
	return b
}

// frame returns the encoded frame.
func (b *frameBuilder) frame(now time.Duration) []byte {
	out := make([]byte, headerBytes)
	binary.LittleEndian.PutUint64(out, uint64(now))
	binary.LittleEndian.PutUint32(out[8:], uint32(4+len(b.records)+len(b.tail)))
	binary.LittleEndian.PutUint32(out[12:], uint32(len(b.records)/eventBytes))
	return append(append(out, b.records...), b.tail...)
}

// appendTail appends data to the tail and returns its offset.
func (b *frameBuilder) appendTail(data string) (offset uint32) {
	offset = uint32(len(b.tail))
	b.tail = append(b.tail, data...)
	return offset
}

func (b *frameBuilder) configure(settings string) *frameBuilder {
	offset := b.appendTail(settings)
	return b.record(eventConfigure, func(r []byte) {
		binary.LittleEndian.PutUint64(r, 7)
		binary.LittleEndian.PutUint32(r[8:], offset)
		binary.LittleEndian.PutUint32(r[12:], uint32(len(settings)))
	})
}

// inContext fills the record of a context.
func inContext(instance uint16) func([]byte) {
	return func(r []byte) { binary.LittleEndian.PutUint16(r, instance) }
}

// scriptedModule is a Module that records its events, and returns the same actions for each or panics.
type scriptedModule struct {
	events  []decision.Event
	actions []decision.Action
	panics  bool
}

func (s *scriptedModule) Handle(_ time.Duration, ev *decision.Event, actions []decision.Action) []decision.Action {
	if s.panics {
		panic("panic of the module")
	}
	s.events = append(s.events, *ev)
	return append(actions, s.actions...)
}

// serveFrames passes the input to a Host whose instances are all m, and returns its output.
func serveFrames(t *testing.T, m Module, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	h := Host{NewModule: func(decision.Settings, uint64) (Module, error) { return m, nil }}
	err := h.Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}
