package simadapter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"gladepick/internal/decision"
)

// Event codes, which are the first two bytes of a record.
const (
	eventConfigure     = 1 // creates an instance
	eventPeerMessage   = 2
	eventPage          = 3 // stores a list of workers under a number
	eventHealthChecked = 4
	eventClientLeft    = 5
	eventContext       = 6 // selects the instance that the following records are for
	eventStreamStarted = 7
	eventOutcome       = 8
	eventTimer         = 9
	eventStop          = 10 // removes an instance
	eventList          = 11 // delivers the list of workers of a stored page
	eventProgress      = 12
	eventJob           = 13
)

// Bits of a job's flags.
const (
	flagHint  = 1
	flagRetry = 2
)

// outcomes maps the codes of the wire format to outcomes.
var outcomes = map[uint16]decision.Outcome{
	10: decision.OK,
	20: decision.Error,
	30: decision.Rejected,
	40: decision.TimedOut,
	50: decision.ConnectFailed,
	60: decision.Reset,
	70: decision.Cancelled,
	80: decision.NeverSent,
}

// listKinds and states are indexed by the codes of the wire format.
var (
	listKinds = [...]decision.ListKind{decision.ListFailed, decision.ListCached, decision.ListDelta, decision.ListFull}
	states    = [...]decision.State{decision.Gone, decision.Ready, decision.Draining}
)

// decodeEvent decodes the record of an event for the module. Host handles the other codes (context, page, configure,
// stop, list) itself.
func (f *frame) decodeEvent(code uint16, record []byte, ev *decision.Event) (err error) {
	*ev = decision.Event{}
	switch code {
	case eventJob:
		decodeJob(record, ev)
	case eventOutcome:
		return decodeOutcome(record, ev)
	case eventHealthChecked:
		return decodeHealthChecked(record, ev)
	case eventProgress:
		*ev = decision.Event{
			Kind:     decision.EventJobProgress,
			Job:      jobID(record[2:]),
			Attempt:  number16(record[6:]),
			Worker:   workerID(record[8:]),
			Progress: decision.ProgressKind(record[12]),
			Value:    float(record[13:]),
		}
	case eventStreamStarted:
		*ev = decision.Event{
			Kind:     decision.EventStreamStarted,
			Job:      jobID(record[2:]),
			Attempt:  number16(record[6:]),
			Worker:   workerID(record[8:]),
			Duration: duration(record[12:]),
		}
	case eventClientLeft:
		*ev = decision.Event{Kind: decision.EventClientLeft, Job: jobID(record[2:])}
	case eventTimer:
		*ev = decision.Event{Kind: decision.EventTimer, Token: binary.LittleEndian.Uint32(record[2:])}
	case eventPeerMessage:
		*ev = decision.Event{Kind: decision.EventPeerMessage, From: int(binary.LittleEndian.Uint32(record[2:]))}
		var data []byte
		if data, err = f.slice(record, 6, 1); err == nil {
			ev.Data = bytes.Clone(data) // the buffer of the frame is reused
		}
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	return err
}

func decodeJob(record []byte, ev *decision.Event) {
	flags := record[42]
	*ev = decision.Event{
		Kind:     decision.EventJob,
		Job:      jobID(record[2:]),
		Class:    number16(record[6:]),
		Tenant:   number16(record[8:]),
		Key:      binary.LittleEndian.Uint64(record[10:]),
		Deadline: duration(record[18:]),
		Hint:     duration(record[26:]),
		Slots:    float(record[34:]),
		Memory:   float(record[38:]),
		HasHint:  flags&flagHint != 0,
		Retry:    flags&flagRetry != 0,
	}
}

func decodeOutcome(record []byte, ev *decision.Event) (err error) {
	*ev = decision.Event{
		Kind:     decision.EventOutcome,
		Job:      jobID(record[2:]),
		JobEnded: record[6] != 0,
		Attempt:  number16(record[13:]),
		Duration: duration(record[15:]),
		Worker:   workerID(record[23:]),
	}
	if ev.Outcome, err = outcome(record[11:]); err != nil {
		return err
	}
	ev.Load, err = load(record[27:])
	return err
}

func decodeHealthChecked(record []byte, ev *decision.Event) (err error) {
	*ev = decision.Event{
		Kind:     decision.EventHealthChecked,
		Worker:   workerID(record[2:]),
		Duration: duration(record[6:]),
	}
	if ev.Outcome, err = outcome(record[14:]); err != nil {
		return err
	}
	ev.Load, err = load(record[16:])
	return err
}

// decodeEntries decodes the workers of a page.
func decodeEntries(b []byte) ([]decision.Entry, error) {
	out := make([]decision.Entry, 0, len(b)/entryBytes)
	for i := 0; len(b) >= entryBytes; i, b = i+1, b[entryBytes:] {
		if int(b[14]) >= len(states) {
			return nil, fmt.Errorf("entry %d: unknown state %d", i, b[14])
		}
		out = append(out, decision.Entry{
			Started: duration(b),
			Cell:    number16(b[8:]),
			Weight:  float(b[10:]),
			State:   states[b[14]],
			Zone:    int(b[15]),
			Kind:    int(b[16]),
			Worker:  workerID(b[17:]),
		})
	}
	return out, nil
}

func jobID(b []byte) decision.JobID       { return decision.JobID(binary.LittleEndian.Uint32(b)) }
func workerID(b []byte) decision.WorkerID { return decision.WorkerID(binary.LittleEndian.Uint32(b)) }
func number16(b []byte) int               { return int(binary.LittleEndian.Uint16(b)) }

// duration decodes a number of nanoseconds, and limits it to the range of time.Duration.
func duration(b []byte) time.Duration {
	return time.Duration(min(binary.LittleEndian.Uint64(b), math.MaxInt64))
}

// float decodes a 32-bit IEEE 754 number.
func float(b []byte) float64 {
	return float64(math.Float32frombits(binary.LittleEndian.Uint32(b)))
}

func outcome(b []byte) (decision.Outcome, error) {
	code := binary.LittleEndian.Uint16(b)
	decoded, ok := outcomes[code]
	if !ok {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return decoded, nil
}

// load decodes a load report: the number of its values, followed by the values.
func load(b []byte) (decision.Load, error) {
	var l decision.Load
	l.Count = int(b[0])
	if l.Count > len(l.Values) {
		return l, fmt.Errorf("load report of %d values exceeds the limit of %d", l.Count, len(l.Values))
	}
	for i := range l.Count {
		l.Values[i] = float(b[1+4*i:])
	}
	return l, nil
}
