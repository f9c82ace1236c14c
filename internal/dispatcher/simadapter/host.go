// Package simadapter lets a simulator play dispatchers: it turns the frames and
// the settings text of the simulator's wire into the types of package decision
// and back, and hosts the module's instances. Decisions are the module's alone.
//
// A frame is a batch of events for any of the instances; the reply to it has the
// actions that follow, and is written before the next frame is read. A malformed
// frame ends the program with an error that names its place; a panic of an
// instance is an action of its own, and the others go on.
//
// A Host belongs to one goroutine. ParseSettings may be called on any.
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
	// maxPages is how many pages can be in use; their numbers are below it.
	maxPages = 16
	// bufferBytes is the size of the buffers for input and output.
	bufferBytes = 1 << 16
)

var errNoContext = errors.New("event before any context")

// Module is what the host needs of an instance of the decision module. Handle appends the actions that follow an event.
type Module interface {
	Handle(now time.Duration, ev *decision.Event, acts []decision.Action) []decision.Action
}

// Host runs the instances of one adapter process. Nothing is shared between them but the pages of worker lists, which
// nobody changes.
type Host struct {
	// New makes an instance; nil is decision.New. Tests put their own in its place.
	New func(decision.Settings, uint64) (Module, error)
	// Errors gets the stack of a panic; nil drops it.
	Errors io.Writer

	instances map[uint16]Module
	pages     [maxPages][]decision.Entry
	pageSet   [maxPages]bool
	actions   []decision.Action // of the present event; reused
	reply     reply
}

// Serve answers every frame of r on w until r ends. Its error names the frame and the place in it; nothing is written for
// a frame that is malformed.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	if h.New == nil {
		h.New = func(s decision.Settings, seed uint64) (Module, error) { return decision.New(s, seed) }
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

// frameState is what holds from record to record of one frame.
type frameState struct {
	instance   uint16 // that the records are for
	hasContext bool   // a context has named it
	replyOf    uint16 // the instance that the reply has named last
	hasReply   bool   // it has named one
}

// handleFrame carries out one frame and leaves the answer in h.reply.
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

// handleRecord carries out one record: one for the host itself, or an event for an instance.
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

// handleEvent passes one event on to an instance and adds the actions that follow to the reply.
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

// callModule leaves the actions that follow an event in h.actions, and turns a panic into its text.
func (h *Host) callModule(m Module, now time.Duration, ev *decision.Event) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
			if h.Errors != nil {
				fmt.Fprintf(h.Errors, "panic: %v\n%s", r, debug.Stack())
			}
		}
	}()
	h.actions = m.Handle(now, ev, h.actions[:0])
	return ""
}

// configure makes an instance, in place of one that has its number.
func (h *Host) configure(f *frame, record []byte, instance uint16) error {
	text, err := f.slice(record, 10, 1)
	if err != nil {
		return err
	}
	s, err := ParseSettings(string(text))
	if err != nil {
		return err
	}
	m, err := h.New(s, binary.LittleEndian.Uint64(record[2:]))
	if err != nil {
		return err
	}
	h.instances[instance] = m
	return nil
}

// setPage reads a page of workers.
func (h *Host) setPage(f *frame, record []byte) error {
	number := binary.LittleEndian.Uint32(record[2:])
	if number >= maxPages {
		return fmt.Errorf("list number %d, the highest is %d", number, maxPages-1)
	}
	text, err := f.slice(record, 6, entryBytes)
	if err != nil {
		return err
	}
	h.pages[number], err = decodeEntries(text)
	h.pageSet[number] = err == nil
	return err
}

// decodeList reads the event of a list of workers, which stand in a page.
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
