package simadapter

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"gladepick/internal/decision"
)

// Action codes, which are the first two bytes of a record.
const (
	actionContext     = 65 // names the instance that the following records are from
	actionSetTimer    = 66
	actionFail        = 67
	actionWatch       = 68
	actionFetch       = 69
	actionFault       = 70 // reports that an instance has panicked
	actionCloseIdle   = 71
	actionLog         = 72
	actionCancel      = 73
	actionReject      = 74
	actionSendPeer    = 75
	actionSend        = 76
	actionHealthCheck = 77
)

// replyHeaderBytes is the size of a reply's header: the length of the data after the length field, and the number of
// records.
const replyHeaderBytes = 8

// maxTimer is the longest delay of a timer. Longer delays are shortened to it.
const maxTimer = 71 * time.Minute

// reply is the encoded reply to one frame. It is reused for the next frame.
type reply struct {
	records []byte // header and records
	tail    []byte // data that records refer to by offset and length
	count   uint32
}

func (r *reply) reset() {
	r.records = append(r.records[:0], make([]byte, replyHeaderBytes)...)
	r.tail = r.tail[:0]
	r.count = 0
}

// add appends a record that is zero except for its code, and returns it.
func (r *reply) add(code uint16) []byte {
	at := len(r.records)
	r.records = append(r.records, make([]byte, actionBytes)...)
	r.count++
	record := r.records[at:]
	binary.LittleEndian.PutUint16(record, code)
	return record
}

// addData appends data to the tail, and writes its offset and length to a record at byte at.
func (r *reply) addData(record []byte, at int, data []byte) {
	binary.LittleEndian.PutUint32(record[at:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(record[at+4:], uint32(len(data)))
	r.tail = append(r.tail, data...)
}

// encode appends the record of one action of an instance.
func (r *reply) encode(a *decision.Action) error {
	le := binary.LittleEndian
	switch a.Kind {
	case decision.Send:
		record := r.add(actionSend)
		le.PutUint32(record[2:], uint32(a.Job))
		le.PutUint32(record[6:], uint32(a.Worker))
		le.PutUint64(record[10:], uint64(a.Timeout))
	case decision.Reject:
		record := r.add(actionReject)
		le.PutUint32(record[2:], uint32(a.Job))
		le.PutUint64(record[6:], uint64(a.RetryAfter))
	case decision.Fail:
		le.PutUint32(r.add(actionFail)[2:], uint32(a.Job))
	case decision.Cancel:
		record := r.add(actionCancel)
		le.PutUint32(record[2:], uint32(a.Job))
		le.PutUint16(record[6:], uint16(a.Attempt))
	case decision.SetTimer:
		record := r.add(actionSetTimer)
		le.PutUint32(record[2:], a.Token)
		le.PutUint64(record[6:], uint64(min(max(a.Delay, 0), maxTimer)))
	case decision.Watch:
		if record := r.add(actionWatch); a.On {
			record[2] = 1
		}
	case decision.Fetch:
		r.add(actionFetch)
	case decision.HealthCheck:
		le.PutUint32(r.add(actionHealthCheck)[2:], uint32(a.Worker))
	case decision.CloseIdle:
		le.PutUint32(r.add(actionCloseIdle)[2:], uint32(a.Worker))
	case decision.SendPeer:
		record := r.add(actionSendPeer)
		le.PutUint16(record[2:], uint16(a.Peer)) // decision.AllPeers becomes 0xffff
		r.addData(record, 4, a.Data)
	case decision.Log:
		r.addData(r.add(actionLog), 2, a.Data)
	default:
		return fmt.Errorf("unknown action kind %d", a.Kind)
	}
	return nil
}

// writeTo fills in the header and writes the reply.
func (r *reply) writeTo(w io.Writer) error {
	length := len(r.records) - countBytes + len(r.tail)
	binary.LittleEndian.PutUint32(r.records, uint32(length))
	binary.LittleEndian.PutUint32(r.records[4:], r.count)
	if _, err := w.Write(r.records); err != nil {
		return err
	}
	_, err := w.Write(r.tail)
	return err
}
