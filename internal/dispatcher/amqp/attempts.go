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

// Send publishes an attempt to the queue of its worker, and reports the outcome through the attempt's End.
func (a *Adapter) Send(attempt *dispatch.Attempt) { go a.publishAttempt(attempt) }

// CloseIdle does nothing: a worker behind a queue has no connection of its own.
func (a *Adapter) CloseIdle(config.Worker) {}

// publishAttempt publishes an attempt, or ends it if that fails.
func (a *Adapter) publishAttempt(attempt *dispatch.Attempt) {
	j := attempt.Job
	id := j.ID + "#" + strconv.FormatUint(a.published.Add(1), 36)
	if !attempt.MayStart() {
		attempt.End(decision.NeverSent, decision.Load{}, nil)
		return
	}
	s := a.register(id, attempt)
	if s == nil {
		attempt.End(decision.ConnectFailed, decision.Load{}, nil)
		return
	}
	leftMs := max(time.Until(attempt.Deadline).Milliseconds(), 1)
	err := s.attempts.PublishWithContext(attempt.Context, "", attempt.Worker.Queue, true, false, amqp.Publishing{
		CorrelationId: id,
		MessageId:     j.IdempotencyKey,
		ReplyTo:       s.replyQueue,
		Expiration:    strconv.FormatInt(leftMs, 10),
		Type:          a.node.Classes[j.Class],
		Headers:       amqp.Table{"x-request-id": j.ID, "x-target": j.Target},
		Body:          j.Body,
	})
	if err != nil {
		a.endUnpublished(id, err)
		return
	}
	attempt.MarkSent()
	context.AfterFunc(attempt.Context, func() {
		if attempt := a.resolve(id); attempt != nil { // cancelled: a later reply finds no attempt and is ignored
			attempt.End(decision.Cancelled, decision.Load{}, nil)
		}
	})
}

// register adds an attempt to those in flight and returns the session to publish it on. It returns nil if there is no
// session.
func (a *Adapter) register(id string, attempt *dispatch.Attempt) *session {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.session != nil {
		a.inFlight[id] = attempt
	}
	return a.session
}

// resolve removes an attempt from those in flight and returns it, so that only one caller ends it. It returns nil if
// the attempt has ended.
func (a *Adapter) resolve(id string) *dispatch.Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	attempt := a.inFlight[id]
	delete(a.inFlight, id)
	return attempt
}

// endUnpublished ends an attempt whose publication failed.
func (a *Adapter) endUnpublished(id string, err error) {
	attempt := a.resolve(id)
	if attempt == nil {
		return
	}
	o := decision.Reset // the broker may have received all or a part of it
	if errors.Is(err, amqp.ErrClosed) {
		o = decision.ConnectFailed // the channel was closed before any byte was written
	}
	attempt.End(o, decision.Load{}, nil)
}

// readReply reads a worker's message, whose lines have the same format as over HTTP. The first line with an outcome
// ends the attempt.
func (a *Adapter) readReply(m amqp.Delivery) {
	a.mu.Lock()
	attempt := a.inFlight[m.CorrelationId]
	a.mu.Unlock()
	if attempt == nil { // the attempt has ended, or the id is unknown
		return
	}
	if len(m.Body) > a.limits.LineBytes {
		m.Body = nil
	}
	for line := range strings.Lines(string(m.Body)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if o, load, result := workerhttp.ReadLine(a.node, attempt, []byte(line)); o != 0 {
			if a.resolve(m.CorrelationId) != nil {
				attempt.End(o, load, result)
			}
			return
		}
	}
}
