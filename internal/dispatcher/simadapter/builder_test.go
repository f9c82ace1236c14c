package simadapter

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"gladepick/internal/decision"
)

// frameBuilder builds frames for the tests.
type frameBuilder struct{ records, tail []byte }

func (b *frameBuilder) rec(code uint16, fill func([]byte)) *frameBuilder {
	rec := make([]byte, eventBytes)
	binary.LittleEndian.PutUint16(rec, code)
	if fill != nil {
		fill(rec[2:])
	}
	b.records = append(b.records, rec...)
	return b
}

func (b *frameBuilder) frame(now time.Duration) []byte {
	out := make([]byte, headerBytes)
	binary.LittleEndian.PutUint64(out, uint64(now))
	binary.LittleEndian.PutUint32(out[8:], uint32(4+len(b.records)+len(b.tail)))
	binary.LittleEndian.PutUint32(out[12:], uint32(len(b.records)/eventBytes))
	return append(append(out, b.records...), b.tail...)
}

func (b *frameBuilder) blob(data string) (at uint32) {
	at = uint32(len(b.tail))
	b.tail = append(b.tail, data...)
	return at
}

func (b *frameBuilder) configure(settings string) *frameBuilder {
	at := b.blob(settings)
	return b.rec(eventConfigure, func(r []byte) {
		binary.LittleEndian.PutUint64(r, 7)
		binary.LittleEndian.PutUint32(r[8:], at)
		binary.LittleEndian.PutUint32(r[12:], uint32(len(settings)))
	})
}

func inContext(inst uint16) func([]byte) {
	return func(r []byte) { binary.LittleEndian.PutUint16(r, inst) }
}

// scriptedModule is a Module that answers every event with fixed actions and keeps what it was told.
type scriptedModule struct {
	seen []decision.Event
	acts []decision.Action
	fail bool
}

func (s *scriptedModule) Handle(_ time.Duration, ev *decision.Event, acts []decision.Action) []decision.Action {
	if s.fail {
		panic("the script breaks")
	}
	s.seen = append(s.seen, *ev)
	return append(acts, s.acts...)
}

func serveFrames(t *testing.T, m Module, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	h := Host{New: func(decision.Settings, uint64) (Module, error) { return m, nil }}
	err := h.Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}
