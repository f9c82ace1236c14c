// Proposals and questions: the way of a command to its group's leader, and of the answer back.

package raftgroup

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ErrUnsure is the result of a command that may or may not have been taken in.
var ErrUnsure = errors.New("replica: no quorum said in time what became of it")

// Result is what came of a command or a question.
type Result struct {
	Token uint64
	Data  []byte
	Err   error
}

type pending struct {
	group    int
	data     []byte
	question bool
	until    time.Duration
	again    time.Duration
	tries    int
}

// Propose brings a command to its group. Its result comes by the token: a reply, or ErrUnsure at the deadline.
func (h *Host) Propose(now time.Duration, group int, command []byte, until time.Duration) (uint64, *Actions) {
	return h.ask(now, &pending{group: group, data: command, until: until})
}

// Look brings a question to some copy of a group. The answer may be behind.
func (h *Host) Look(now time.Duration, group int, question []byte, until time.Duration) (uint64, *Actions) {
	return h.ask(now, &pending{group: group, data: question, until: until, question: true})
}

func (h *Host) ask(now time.Duration, p *pending) (uint64, *Actions) {
	h.begin(now)
	id := h.rng.Uint64() | 1
	h.pending[id] = p
	h.carry(id, p)
	return id, h.end()
}

// Drop gives a command up: no result comes of it any more.
func (h *Host) Drop(token uint64) { delete(h.pending, token) }

// carry sends a command on its way, or once more.
func (h *Host) carry(id uint64, p *pending) {
	p.again = h.now + 4*h.cfg.Tick
	p.tries++
	g := h.groups[p.group]
	if g != nil && p.question && g.raw.BasicStatus().Lead != 0 { // a copy that hears no leader may have been given up long ago
		h.settle(id, g.machine.Look(p.data))
		return
	} else if g != nil && g.leads {
		h.enter(g, id, p.data)
		return
	}
	to, ok := h.lead[p.group]
	if !ok || p.tries > 1 { // by turns: whoever has a copy knows who leads
		to, ok = h.guess(p.group, p.tries)
	}
	if ok {
		kind := propose
		if p.question {
			kind = look
		}
		h.send(to, frame{Kind: kind, Group: p.group, ID: id, Data: p.data})
	}
}

// guess is somebody who may have a copy of a group.
func (h *Host) guess(n, try int) (Place, bool) {
	var to []Place
	for _, p := range h.where[n] {
		if m, ok := h.seen[p.Name]; ok && m.Copy == p.Copy && p != h.cfg.Self {
			to = append(to, p)
		}
	}
	if len(to) == 0 || try%4 == 0 {
		to = to[:0]
		for _, name := range slices.Sorted(maps.Keys(h.seen)) {
			if m := h.seen[name]; m.Place != h.cfg.Self {
				to = append(to, m.Place)
			}
		}
	}
	if len(to) == 0 {
		return Place{}, false
	}
	return to[try%len(to)], true
}

// enter gives a command to the group that this host leads.
func (h *Host) enter(g *group, id uint64, command []byte) {
	data, err := cbor.Marshal(entry{ID: id, Data: command})
	if err != nil {
		panic(err)
	}
	if g.raw.Propose(data) != nil {
		delete(g.remote, id) // it comes again
	}
}

func (h *Host) settle(id uint64, reply []byte) {
	if h.pending[id] != nil {
		delete(h.pending, id)
		h.acts.Results = append(h.acts.Results, Result{Token: id, Data: reply})
	}
}

// Hear takes a frame in. From is who the carrier says sent it.
func (h *Host) Hear(now time.Duration, from Place, data []byte) *Actions {
	h.begin(now)
	var f frame
	if err := cbor.Unmarshal(data, &f); err != nil || f.For != h.cfg.Self.Copy {
		return h.end()
	}
	if f.Of != h.Charter() && (f.Kind != charterWord || h.charter != nil) {
		if f.Of != 0 && h.charter != nil && !h.apart[from.Name] { // two foundings: their operators' files named others
			h.apart[from.Name] = true
			h.notice("apart: %v belongs to another founding, %x; this one to %x", from, f.Of, h.charter.ID)
		}
		return h.end()
	}
	g := h.groups[f.Group]
	switch f.Kind {
	case charterWord:
		var c Charter
		if cbor.Unmarshal(f.Data, &c) == nil && c.ID == f.Of && c.Groups > 0 && len(c.First) == c.Groups {
			h.install(&c)
		}
	case gone:
		if g != nil && g.seat == f.Seat {
			delete(h.groups, f.Group)
		}
	case raftFrame:
		h.raft(from, f)
	case propose:
		if g != nil && g.leads {
			g.remote[f.ID] = from
			h.enter(g, f.ID, f.Data)
			break
		}
		h.redirect(from, f, g)
	case look:
		if g != nil && g.raw.BasicStatus().Lead != 0 {
			h.send(from, frame{Kind: looked, ID: f.ID, Data: g.machine.Look(f.Data)})
			break
		}
		h.redirect(from, f, g)
	case result, looked:
		h.settle(f.ID, f.Data)
	case redirect:
		p := h.pending[f.ID]
		if p == nil || p.group != f.Group || len(f.Seats) == 0 {
			break
		}
		h.where[f.Group] = h.where[f.Group][:0]
		for _, s := range f.Seats {
			h.where[f.Group] = append(h.where[f.Group], s.Place)
		}
		if h.lead[f.Group] = f.Seats[0].Place; p.tries < 8 && f.Seats[0].Place != from && f.Seat != 0 {
			p.tries = 0
			h.carry(f.ID, p)
			p.tries = 8 // after that by turns, and not at once
		}
	}
	return h.end()
}

// redirect tells somebody who has a copy of a group, who leads first.
func (h *Host) redirect(to Place, f frame, g *group) {
	out := frame{Kind: redirect, Group: f.Group, ID: f.ID}
	if g != nil {
		lead := g.raw.BasicStatus().Lead
		if p, ok := g.seats[lead]; ok {
			out.Seat, out.Seats = lead, append(out.Seats, Seat{ID: lead, Place: p})
		}
		for _, id := range slices.Sorted(maps.Keys(g.seats)) {
			if id != lead {
				out.Seats = append(out.Seats, Seat{ID: id, Place: g.seats[id]})
			}
		}
	} else {
		for _, p := range h.where[f.Group] {
			out.Seats = append(out.Seats, Seat{Place: p})
		}
	}
	h.send(to, out)
}
