package simadapter

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"gladepick/internal/decision"
)

// Machine is what the host needs of a decision module's instance.
type Module interface {
	Handle(now time.Duration, ev *decision.Event, acts []decision.Action) []decision.Action
}

// Host runs the instances of one adapter process. Nothing is shared between
// them but the pages of worker lists, which nobody changes.
type Host struct {
	// New makes an instance; it is decision.New but in tests.
	New func(decision.Settings, uint64) (Module, error)
	// Errors gets the stack of a panic; nil drops it.
	Errors io.Writer

	instances map[uint16]Module
	pages     [lists][]decision.Entry
	known     [lists]bool
	acts      []decision.Action
	out       reply
}

// Serve answers every frame of r on w until r ends. Its error names the frame
// and the place in it; nothing is written for a frame that is malformed.
func (h *Host) Serve(r io.Reader, w io.Writer) error {
	if h.New == nil {
		h.New = func(s decision.Settings, seed uint64) (Module, error) { return decision.New(s, seed) }
	}
	h.instances = make(map[uint16]Module)
	in, out := bufio.NewReaderSize(r, 1<<16), bufio.NewWriterSize(w, 1<<16)
	var buf bytes.Buffer
	for n := 0; ; n++ {
		f, err := readFrame(in, &buf)
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.batch(&f)
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if err := h.out.writeTo(out); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", n, err)
		}
		if err := out.Flush(); err != nil {
			return fmt.Errorf("frame %d: writing the reply: %w", n, err)
		}
	}
}

// batch carries out one frame and leaves the answer in h.out.
func (h *Host) batch(f *frame) error {
	h.out.reset()
	var inst, spoken uint16
	var chosen, named bool // an instance is in context; the reply has named one
	for i := 0; i*eventLen < len(f.records); i++ {
		rec := f.records[i*eventLen : (i+1)*eventLen]
		code := binary.LittleEndian.Uint16(rec)
		fail := func(err error) error {
			return fmt.Errorf("record %d (code %d): %w", i, code, err)
		}
		switch code {
		case evContext:
			inst, chosen = binary.LittleEndian.Uint16(rec[2:]), true
			continue
		case evPage:
			if err := h.page(f, rec); err != nil {
				return fail(err)
			}
			continue
		}
		if !chosen {
			return fail(fmt.Errorf("event before any context"))
		}
		var ev decision.Event
		switch code {
		case evConfigure:
			if err := h.configure(f, rec, inst); err != nil {
				return fail(err)
			}
			continue
		case evStop:
			delete(h.instances, inst)
			continue
		case evFleet:
			if int(rec[2]) >= len(listKinds) {
				return fail(fmt.Errorf("unknown list kind %d", rec[2]))
			}
			ev = decision.Event{Kind: decision.EventList, List: listKinds[rec[2]]}
			if ev.List != decision.ListFailed {
				number := binary.LittleEndian.Uint32(rec[7:])
				if number >= lists || !h.known[number] {
					return fail(fmt.Errorf("list number %d has no page", number))
				}
				ev.Entries = h.pages[number]
			}
		default:
			if err := f.decode(code, rec, &ev); err != nil {
				return fail(err)
			}
		}
		m := h.instances[inst]
		if m == nil {
			return fail(fmt.Errorf("instance %d has not been configured", inst))
		}
		fault := h.handle(m, f.now, &ev)
		if (len(h.acts) > 0 || fault != "") && (!named || spoken != inst) {
			binary.LittleEndian.PutUint16(h.out.record(acFor)[2:], inst)
			spoken, named = inst, true
		}
		if fault != "" {
			h.out.blob(h.out.record(acBug), 2, []byte(fault))
			continue
		}
		for k := range h.acts {
			if err := h.out.encode(&h.acts[k]); err != nil {
				return fail(err)
			}
		}
	}
	return nil
}

// handle passes one event on and turns a panic into its text.
func (h *Host) handle(m Module, now time.Duration, ev *decision.Event) (fault string) {
	defer func() {
		if r := recover(); r != nil {
			fault = fmt.Sprint(r)
			if h.Errors != nil {
				fmt.Fprintf(h.Errors, "panic: %v\n%s", r, debug.Stack())
			}
		}
	}()
	h.acts = m.Handle(now, ev, h.acts[:0])
	return ""
}

func (h *Host) configure(f *frame, rec []byte, inst uint16) error {
	text, err := f.slice(rec, 10, 1)
	if err != nil {
		return err
	}
	s, err := ParseSettings(string(text))
	if err != nil {
		return err
	}
	m, err := h.New(s, binary.LittleEndian.Uint64(rec[2:]))
	if err != nil {
		return err
	}
	h.instances[inst] = m
	return nil
}

func (h *Host) page(f *frame, rec []byte) error {
	number := binary.LittleEndian.Uint32(rec[2:])
	if number >= lists {
		return fmt.Errorf("list number %d, the highest is %d", number, lists-1)
	}
	lines, err := f.slice(rec, 6, entryLen)
	if err != nil {
		return err
	}
	h.pages[number], err = entries(lines)
	h.known[number] = err == nil
	return err
}
