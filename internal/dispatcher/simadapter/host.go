// Package simadapter connects a simulator of dispatchers with the decision module. It hosts instances of the module,
// and translates between the simulator's wire format (frames and a settings text) and the types of package decision. It
// makes no decisions of its own.
//
// A frame is a batch of events for any number of instances. The reply has the resulting actions and is written before
// the next frame is read. A malformed frame ends Serve with an error that names the frame and the record. If an
// instance panics, the reply has a fault action for it, and the other instances continue.
//
// A Host must be used by one goroutine. ParseSettings is safe for concurrent use.
//
// Start reading at Host.Serve.
package simadapter

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"gladepick/internal/decision"
)

const (
	// maxPages is the number of pages that can be stored. Page numbers are below it.
	maxPages = 16
	// bufferBytes is the size of the buffers for input and output.
	bufferBytes = 1 << 16
)

var errNoContext = errors.New("event before any context")

// Module is an instance of the decision module as Host uses it. Handle appends the actions that result from an event to
// actions.
type Module interface {
	Handle(now time.Duration, ev *decision.Event, actions []decision.Action) []decision.Action
}

// Host runs the instances of one adapter process. The instances share only the pages of worker lists, which they must
// not modify.
type Host struct {
	// NewModule creates an instance. It defaults to decision.New; tests replace it.
	NewModule func(decision.Settings, uint64) (Module, error)
	// PanicLog receives the message and the stack of each panic of an instance. If it is nil, they are discarded.
	PanicLog io.Writer

	instances map[uint16]Module
	pages     [maxPages][]decision.Entry
	pageSet   [maxPages]bool
	actions   []decision.Action // result of the current event; reused
	reply     reply
}

// Serve reads frames from r and writes a reply to each to w, until r ends. Its error names the frame and the position
// in it. Serve writes no reply to a malformed frame.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	if h.NewModule == nil {
		h.NewModule = func(s decision.Settings, seed uint64) (Module, error) { return decision.New(s, seed) }
	}
	h.instances = make(map[uint16]Module)
	in, out := bufio.NewReaderSize(r, bufferBytes), bufio.NewWriterSize(w, bufferBytes)
	var buffer bytes.Buffer
	for n := 0; ; n++ {
		f, err := readFrame(in, &buffer)
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.handleFrame(&f)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := h.reply.writeTo(out); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", n, err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", n, err)
		}
	}
}

// frameState is the state that is kept from one record of a frame to the next.
type frameState struct {
	instance   uint16 // receiver of the records, set by the last context
	hasContext bool   // the frame has had a context
	replyOf    uint16 // instance of the last context in the reply
	hasReply   bool   // the reply has a context
}

// handleFrame handles the records of one frame and stores the resulting actions in h.reply.
func (h *Host) handleFrame(f *frame) error {
	h.reply.reset()
	var state frameState
	for i := 0; i*eventBytes < len(f.records); i++ {
		record := f.records[i*eventBytes : (i+1)*eventBytes]
		code := binary.LittleEndian.Uint16(record)
		if err := h.handleRecord(f, code, record, &state); err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, code, err)
		}
	}
	return nil
}

// handleRecord handles one record, which is either for the host itself or an event for an instance.
func (h *Host) handleRecord(f *frame, code uint16, record []byte, state *frameState) error {
	switch code {
	case eventContext:
		state.instance, state.hasContext = binary.LittleEndian.Uint16(record[2:]), true
		return nil
	case eventPage:
		return h.setPage(f, record)
	}
	if !state.hasContext {
		return errNoContext
	}
	var ev decision.Event
	switch code {
	case eventConfigure:
		return h.configure(f, record, state.instance)
	case eventStop:
		delete(h.instances, state.instance)
		return nil
	case eventList:
		if err := h.decodeList(record, &ev); err != nil {
			return err
		}
	default:
		if err := f.decodeEvent(code, record, &ev); err != nil {
			return err
		}
	}
	m := h.instances[state.instance]
	if m == nil {
		return fmt.Errorf("instance %d has not been configured", state.instance)
	}
	return h.handleEvent(m, f.now, &ev, state)
}

// handleEvent passes one event to an instance and adds the resulting actions to the reply.
func (h *Host) handleEvent(m Module, now time.Duration, ev *decision.Event, state *frameState) error {
	fault := h.callModule(m, now, ev)
	if (len(h.actions) > 0 || fault != "") && (!state.hasReply || state.replyOf != state.instance) {
		binary.LittleEndian.PutUint16(h.reply.add(actionContext)[2:], state.instance)
		state.replyOf, state.hasReply = state.instance, true
	}
	if fault != "" {
		h.reply.addData(h.reply.add(actionFault), 2, []byte(fault))
		return nil
	}
	for i := range h.actions {
		if err := h.reply.encode(&h.actions[i]); err != nil {
			return err
		}
	}
	return nil
}

// callModule passes an event to an instance and stores the resulting actions in h.actions. If the instance panics, it
// returns the panic's message.
func (h *Host) callModule(m Module, now time.Duration, ev *decision.Event) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
			if h.PanicLog != nil {
				fmt.Fprintf(h.PanicLog, "panic: %v\n%s", r, debug.Stack())
			}
		}
	}()
	h.actions = m.Handle(now, ev, h.actions[:0])
	return ""
}

// configure creates an instance. It replaces an existing instance with the same number.
func (h *Host) configure(f *frame, record []byte, instance uint16) error {
	text, err := f.slice(record, 10, 1)
	if err != nil {
		return err
	}
	s, err := ParseSettings(string(text))
	if err != nil {
		return err
	}
	m, err := h.NewModule(s, binary.LittleEndian.Uint64(record[2:]))
	if err != nil {
		return err
	}
	h.instances[instance] = m
	return nil
}

// setPage decodes a page of workers and stores it under its number.
func (h *Host) setPage(f *frame, record []byte) error {
	number := binary.LittleEndian.Uint32(record[2:])
	if number >= maxPages {
		return fmt.Errorf("list number %d exceeds the highest, %d", number, maxPages-1)
	}
	text, err := f.slice(record, 6, entryBytes)
	if err != nil {
		return err
	}
	h.pages[number], err = decodeEntries(text)
	h.pageSet[number] = err == nil
	return err
}

// decodeList decodes the event of a list of workers. The workers are those of a stored page.
func (h *Host) decodeList(record []byte, ev *decision.Event) error {
	if int(record[2]) >= len(listKinds) {
		return fmt.Errorf("unknown list kind %d", record[2])
	}
	*ev = decision.Event{Kind: decision.EventList, List: listKinds[record[2]]}
	if ev.List == decision.ListFailed {
		return nil
	}
	number := binary.LittleEndian.Uint32(record[7:])
	if number >= maxPages || !h.pageSet[number] {
		return fmt.Errorf("list number %d has no page", number)
	}
	ev.Entries = h.pages[number]
	return nil
}
