// Package simadapter turns the frames and settings text of the simulator's wire into
// the types of package decision and back, and hosts the instances. It decides
// nothing.
package simadapter

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"gladepick/internal/decision"
)

const (
	headerLen = 16
	eventLen  = 48
	actionLen = 24
	entryLen  = 21
	lists     = 16 // numbered pages that can be in use
)

// Event codes.
const (
	evConfigure = 1
	evPeer      = 2
	evPage      = 3
	evHealth    = 4
	evCancelled = 5
	evContext   = 6
	evOpened    = 7
	evVerdict   = 8
	evWake      = 9
	evStop      = 10
	evFleet     = 11
	evNote      = 12
	evDemand    = 13
)

// Action codes.
const (
	acFor     = 65
	acNotify  = 66
	acFailed  = 67
	acObserve = 68
	acRefresh = 69
	acBug     = 70
	acClose   = 71
	acPrint   = 72
	acRecall  = 73
	acBounce  = 74
	acPeer    = 75
	acForward = 76
	acTest    = 77
)

// maxTimer is the longest delay that the wire takes.
const maxTimer = 71 * time.Minute

// frame is one batch as it came in.
type frame struct {
	now     time.Duration
	records []byte // count * eventLen bytes
	tail    []byte
}

// readFrame reads one batch into buf, which is reused. It returns io.EOF only
// where the input ends cleanly between two frames.
func readFrame(r io.Reader, buf *bytes.Buffer) (frame, error) {
	var head [headerLen]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return frame{}, io.EOF
		}
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frame{}, fmt.Errorf("header cut off after %d of %d bytes", n, headerLen)
		}
		return frame{}, err
	}
	now := binary.LittleEndian.Uint64(head[0:])
	length := binary.LittleEndian.Uint32(head[8:])
	count := binary.LittleEndian.Uint32(head[12:])
	if now > math.MaxInt64 {
		return frame{}, fmt.Errorf("clock value %d is out of range (byte 0)", now)
	}
	if length < 4 {
		return frame{}, fmt.Errorf("length %d is below the 4 bytes of the record count (byte 8)", length)
	}
	body := int64(length) - 4
	if int64(count)*eventLen > body {
		return frame{}, fmt.Errorf("%d records of %d bytes do not fit into %d bytes (byte 12)", count, eventLen, body)
	}
	// The length is not trusted with an allocation: the buffer grows with what arrives.
	buf.Reset()
	if n, err := io.CopyN(buf, r, body); err != nil {
		if errors.Is(err, io.EOF) {
			return frame{}, fmt.Errorf("body cut off after %d of %d bytes", n, body)
		}
		return frame{}, err
	}
	b := buf.Bytes()
	return frame{now: time.Duration(now), records: b[:count*eventLen], tail: b[count*eventLen:]}, nil
}

// slice resolves an offset and length (in units of size bytes) in the tail.
func (f *frame) slice(rec []byte, at, size int) ([]byte, error) {
	off := uint64(binary.LittleEndian.Uint32(rec[at:]))
	n := uint64(binary.LittleEndian.Uint32(rec[at+4:])) * uint64(size)
	if off+n > uint64(len(f.tail)) {
		return nil, fmt.Errorf("offset %d and %d bytes run past the tail of %d bytes (field at %d)",
			off, n, len(f.tail), at)
	}
	return f.tail[off : off+n], nil
}

var outcomes = map[uint16]decision.Outcome{
	10: decision.OK, 20: decision.Error, 30: decision.Rejected, 40: decision.TimedOut,
	50: decision.ConnectFailed, 60: decision.Reset, 70: decision.Cancelled, 80: decision.NeverSent,
}

var listKinds = [...]decision.ListKind{decision.ListFailed, decision.ListCached, decision.ListDelta, decision.ListFull}

var states = [...]decision.State{decision.Gone, decision.Ready, decision.Draining}

// duration reads a time that must lie in the range of the module's clock.
func duration(b []byte) time.Duration {
	return time.Duration(min(binary.LittleEndian.Uint64(b), math.MaxInt64))
}

func float(b []byte) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
}

func outcome(b []byte) (decision.Outcome, error) {
	code := binary.LittleEndian.Uint16(b)
	o, ok := outcomes[code]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return o, nil
}

func load(b []byte) (decision.Load, error) {
	var l decision.Load
	l.Count = int(b[0])
	if l.Count > len(l.Values) {
		return l, fmt.Errorf("load report of %d values, at most %d are possible", l.Count, len(l.Values))
	}
	for i := range l.Count {
		l.Values[i] = float(b[1+4*i:])
	}
	return l, nil
}

// entries reads the lines of a page.
func entries(b []byte) ([]decision.Entry, error) {
	out := make([]decision.Entry, 0, len(b)/entryLen)
	for i := 0; len(b) >= entryLen; i, b = i+1, b[entryLen:] {
		if int(b[14]) >= len(states) {
			return nil, fmt.Errorf("entry %d: unknown state %d", i, b[14])
		}
		out = append(out, decision.Entry{
			Started: duration(b),
			Cell:    int(binary.LittleEndian.Uint16(b[8:])),
			Weight:  float(b[10:]),
			State:   states[b[14]],
			Zone:    int(b[15]),
			Kind:    int(b[16]),
			Worker:  decision.WorkerID(binary.LittleEndian.Uint32(b[17:])),
		})
	}
	return out, nil
}

// decode reads one traffic record. The codes that concern the host itself
// (context, page, configure, stop, fleet) are not its business.
func (f *frame) decode(code uint16, rec []byte, ev *decision.Event) (err error) {
	le := binary.LittleEndian
	*ev = decision.Event{}
	switch code {
	case evDemand:
		flags := rec[42]
		*ev = decision.Event{
			Kind: decision.EventJob, Job: decision.JobID(le.Uint32(rec[2:])),
			Class: int(le.Uint16(rec[6:])), Tenant: int(le.Uint16(rec[8:])), Key: le.Uint64(rec[10:]),
			Deadline: duration(rec[18:]), Hint: duration(rec[26:]),
			Slots: float(rec[34:]), Memory: float(rec[38:]),
			HasHint: flags&1 != 0, Retry: flags&2 != 0,
		}
	case evVerdict:
		*ev = decision.Event{
			Kind: decision.EventOutcome, Job: decision.JobID(le.Uint32(rec[2:])), JobEnded: rec[6] != 0,
			Attempt: int(le.Uint16(rec[13:])), Duration: duration(rec[15:]),
			Worker: decision.WorkerID(le.Uint32(rec[23:])),
		}
		if ev.Outcome, err = outcome(rec[11:]); err == nil {
			ev.Load, err = load(rec[27:])
		}
	case evHealth:
		*ev = decision.Event{
			Kind: decision.EventHealthChecked, Worker: decision.WorkerID(le.Uint32(rec[2:])), Duration: duration(rec[6:]),
		}
		if ev.Outcome, err = outcome(rec[14:]); err == nil {
			ev.Load, err = load(rec[16:])
		}
	case evNote:
		*ev = decision.Event{
			Kind: decision.EventJobProgress, Job: decision.JobID(le.Uint32(rec[2:])), Attempt: int(le.Uint16(rec[6:])),
			Worker: decision.WorkerID(le.Uint32(rec[8:])), Progress: decision.ProgressKind(rec[12]), Value: float(rec[13:]),
		}
	case evOpened:
		*ev = decision.Event{
			Kind: decision.EventStreamStarted, Job: decision.JobID(le.Uint32(rec[2:])), Attempt: int(le.Uint16(rec[6:])),
			Worker: decision.WorkerID(le.Uint32(rec[8:])), Duration: duration(rec[12:]),
		}
	case evCancelled:
		*ev = decision.Event{Kind: decision.EventClientLeft, Job: decision.JobID(le.Uint32(rec[2:]))}
	case evWake:
		*ev = decision.Event{Kind: decision.EventTimer, Token: le.Uint32(rec[2:])}
	case evPeer:
		*ev = decision.Event{Kind: decision.EventPeerMessage, From: int(le.Uint32(rec[2:]))}
		var data []byte
		if data, err = f.slice(rec, 6, 1); err == nil {
			ev.Data = bytes.Clone(data) // the frame's buffer is reused
		}
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	return err
}

// reply collects the actions of one batch.
type reply struct {
	records []byte
	tail    []byte
	count   uint32
}

func (p *reply) reset() {
	p.records, p.tail, p.count = append(p.records[:0], make([]byte, 8)...), p.tail[:0], 0
}

// record adds a zeroed record with its code.
func (p *reply) record(code uint16) []byte {
	at := len(p.records)
	p.records = append(p.records, make([]byte, actionLen)...)
	p.count++
	rec := p.records[at:]
	binary.LittleEndian.PutUint16(rec, code)
	return rec
}

// blob puts data into the tail and its place into the record.
func (p *reply) blob(rec []byte, at int, data []byte) {
	binary.LittleEndian.PutUint32(rec[at:], uint32(len(p.tail)))
	binary.LittleEndian.PutUint32(rec[at+4:], uint32(len(data)))
	p.tail = append(p.tail, data...)
}

// encode adds one action of an instance.
func (p *reply) encode(a *decision.Action) error {
	le := binary.LittleEndian
	switch a.Kind {
	case decision.Send:
		rec := p.record(acForward)
		le.PutUint32(rec[2:], uint32(a.Job))
		le.PutUint32(rec[6:], uint32(a.Worker))
		le.PutUint64(rec[10:], uint64(a.Timeout))
	case decision.Reject:
		rec := p.record(acBounce)
		le.PutUint32(rec[2:], uint32(a.Job))
		le.PutUint64(rec[6:], uint64(a.RetryAfter))
	case decision.Fail:
		le.PutUint32(p.record(acFailed)[2:], uint32(a.Job))
	case decision.Cancel:
		rec := p.record(acRecall)
		le.PutUint32(rec[2:], uint32(a.Job))
		le.PutUint16(rec[6:], uint16(a.Attempt))
	case decision.SetTimer:
		rec := p.record(acNotify)
		le.PutUint32(rec[2:], a.Token)
		le.PutUint64(rec[6:], uint64(min(max(a.Delay, 0), maxTimer)))
	case decision.Watch:
		if rec := p.record(acObserve); a.On {
			rec[2] = 1
		}
	case decision.Fetch:
		p.record(acRefresh)
	case decision.HealthCheck:
		le.PutUint32(p.record(acTest)[2:], uint32(a.Worker))
	case decision.CloseIdle:
		le.PutUint32(p.record(acClose)[2:], uint32(a.Worker))
	case decision.SendPeer:
		rec := p.record(acPeer)
		le.PutUint16(rec[2:], uint16(a.Peer)) // Everyone is all bits set
		p.blob(rec, 4, a.Data)
	case decision.Log:
		p.blob(p.record(acPrint), 2, a.Data)
	default:
		return fmt.Errorf("unknown action kind %d", a.Kind)
	}
	return nil
}

// writeTo completes the header and writes the frame.
func (p *reply) writeTo(w io.Writer) error {
	binary.LittleEndian.PutUint32(p.records, uint32(len(p.records)-4+len(p.tail)))
	binary.LittleEndian.PutUint32(p.records[4:], p.count)
	if _, err := w.Write(p.records); err != nil {
		return err
	}
	_, err := w.Write(p.tail)
	return err
}
