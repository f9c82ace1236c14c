// Attempts at workers that take theirs from queues.

package amqp

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/dispatch"
	"gladepick/internal/dispatcher/workerhttp"
)

// Send publishes an attempt to its worker's queue.
func (d *Adapter) Send(a *dispatch.Attempt) { go d.carry(a) }

// CloseIdle has nothing to close: queues have no connections of their own.
func (d *Adapter) CloseIdle(config.Worker) {}

func (d *Adapter) carry(a *dispatch.Attempt) {
	id := a.Job.ID + "#" + strconv.FormatUint(d.sends.Add(1), 36)
	if !a.MayStart() {
		a.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	d.mu.Lock()
	s := d.now
	if s != nil {
		d.pending[id] = a
	}
	d.mu.Unlock()
	if s == nil {
		a.End(decision.ConnectFailed, decision.Load{}, nil)
		return
	}
	left := strconv.FormatInt(max(time.Until(a.Deadline).Milliseconds(), 1), 10)
	err := s.back.PublishWithContext(a.Context, "", a.Worker.Queue, true, false, amqp.Publishing{
		CorrelationId: id, MessageId: a.Job.IdempotencyKey, ReplyTo: s.replies, Expiration: left, Type: d.node.Classes[a.Job.Class],
		Headers: amqp.Table{"x-request-id": a.Job.ID, "x-target": a.Job.Target}, Body: a.Job.Body})
	if err != nil {
		if a := d.resolve(id); a != nil {
			o := decision.Reset // part of it, or all, may have gone out
			if errors.Is(err, amqp.ErrClosed) {
				o = decision.ConnectFailed // the channel was closed before anything was written
			}
			a.End(o, decision.Load{}, nil)
		}
		return
	}
	a.MarkSent()
	context.AfterFunc(a.Context, func() {
		if a := d.resolve(id); a != nil { // given up: what comes later finds nobody waiting
			a.End(decision.Cancelled, decision.Load{}, nil)
		}
	})
}

// resolve takes an attempt out of those that wait, so that it ends once.
func (d *Adapter) resolve(id string) *dispatch.Attempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.pending[id]
	delete(d.pending, id)
	return a
}

// hear takes a worker's message: lines as the floor knows them.
func (d *Adapter) hear(m amqp.Delivery) {
	d.mu.Lock()
	a := d.pending[m.CorrelationId]
	d.mu.Unlock()
	if a == nil { // late, or nobody's
		return
	}
	if len(m.Body) > d.lim.LineBytes {
		m.Body = nil
	}
	for line := range strings.Lines(string(m.Body)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if o, load, result := workerhttp.ReadLine(d.node, a, []byte(line)); o != 0 {
			if d.resolve(m.CorrelationId) != nil {
				a.End(o, load, result)
			}
			return
		}
	}
}
