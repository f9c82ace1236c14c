package amqp

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"strconv"
	"strings"
	"time"

	amqp "github.com/rabbitmq/amqp091-go"

	"gladepick/internal/decision"
	"gladepick/internal/dispatcher/clienthttp"
	"gladepick/internal/dispatcher/dispatch"
)

// The answer's type property: one for each kind of answer, and one for messages that are no job.
const (
	typeServed    = "served"
	typeRejected  = "refused"
	typeFailed    = "failed"
	typeMalformed = "malformed"
)

// delivery is a message of a client, and the session that its acknowledgement belongs to.
type delivery struct {
	amqp.Delivery
	session *session
}

// take makes a job of a delivery, or joins it to the one of its key, or says what is wrong with it.
func (a *Adapter) take(d delivery) {
	j, err := a.readJob(&d.Delivery)
	if err != nil {
		a.rejectMalformed(d, err)
		return
	}
	name, keyed := a.outcomeName(j, d.Type)
	known := a.outcomes.enter(name, keyed, d)
	switch {
	case known.joined:
		a.counters.Redelivered.Add(1)
		return
	case known.answer != nil:
		a.counters.Redelivered.Add(1)
		go a.answer(d, *known.answer)
		return
	case known.lost: // it came before and may have run, but its outcome is not remembered any more
		a.counters.Redelivered.Add(1)
		go a.answer(d, dispatch.Answer{Kind: dispatch.Failed})
		return
	}
	j.Reply = func(answer dispatch.Answer) {
		for _, waiting := range a.outcomes.complete(name, answer) {
			go a.answer(waiting, answer)
		}
	}
	a.submit(j, name)
}

// outcomeName returns the name under which a job's outcome is remembered, and whether a second run of the job would be a
// second effect that only this package prevents.
func (a *Adapter) outcomeName(j *dispatch.Job, class string) (name string, keyed bool) {
	idempotency := a.node.Module.Classes[j.Class].Idempotency
	keyed = idempotency != decision.Idempotent && !(a.Durable && idempotency == decision.Deduplicated)
	if j.IdempotencyKey == "" {
		return "\x00" + j.ID, keyed
	}
	return class + "\x00" + j.IdempotencyKey, keyed
}

// submit hands a job on. One whose client left while it waited in the queue, or for which there is no room, is sent
// nowhere: it is rejected, and trying again is harmless.
func (a *Adapter) submit(j *dispatch.Job, name string) {
	var err error
	if j.Timeout > 0 {
		err = a.Jobs.Submit(j)
	}
	rejected := dispatch.Answer{Kind: dispatch.Rejected, RetryAfter: a.limits.RetryAfter}
	switch {
	case errors.Is(err, dispatch.ErrDuplicateID): // the job that has this id goes on as if nothing had come
		a.counters.Malformed.Add(1)
		for _, waiting := range a.outcomes.complete(name, rejected) {
			go a.settle(waiting, typeMalformed, amqp.Table{"reason": err.Error()}, nil)
		}
	case err != nil || j.Timeout <= 0:
		j.Reply(rejected)
	}
}

// rejectMalformed answers a message that is no job. One that cannot be answered is rejected without requeue.
func (a *Adapter) rejectMalformed(d delivery, err error) {
	a.counters.Malformed.Add(1)
	if d.ReplyTo == "" || d.CorrelationId == "" {
		d.Reject(false)
		a.unsettled.Done()
		return
	}
	go a.settle(d, typeMalformed, amqp.Table{"reason": err.Error()}, nil)
}

// readJob checks a message and takes out what decisions need. Its error is for the client.
func (a *Adapter) readJob(m *amqp.Delivery) (*dispatch.Job, error) {
	j := &dispatch.Job{
		ID:             m.CorrelationId,
		IdempotencyKey: m.MessageId,
		Target:         "/" + m.Type,
		Body:           m.Body,
		Retry:          headerText(m, "x-retried") == "1",
	}
	if j.ID == "" || !clienthttp.IsHeaderSafe(j.ID) || !clienthttp.IsHeaderSafe(j.IdempotencyKey) || !clienthttp.IsHeaderSafe(m.Type) {
		return nil, errors.New("correlation-id is missing, or it, message-id or type cannot pass on as it is")
	}
	if int64(len(m.Body)) > a.limits.BodyBytes {
		return nil, fmt.Errorf("a body holds %d bytes at most", a.limits.BodyBytes)
	}
	tenant := headerText(m, "x-tenant-id")
	if err := clienthttp.AssignClassAndTenant(a.node, j, m.Type, tenant); err != nil {
		return nil, err
	}
	if err := readSubject(j, headerText(m, "x-subject")); err != nil {
		return nil, err
	}
	if err := readNumber(&j.Slots, m, "x-slots"); err != nil {
		return nil, err
	}
	if err := readNumber(&j.Memory, m, "x-memory"); err != nil {
		return nil, err
	}
	var err error
	if j.Timeout, err = clienthttp.ParseTimeout(m.Expiration, time.Millisecond, a.limits.MaxJobTimeout); err != nil {
		return nil, fmt.Errorf("expiration: %w", err)
	}
	if !m.Timestamp.IsZero() { // it counts from when the client sent it; the timestamp has whole seconds only
		left := time.Until(m.Timestamp.Add(time.Second)) + j.Timeout
		j.Timeout = min(j.Timeout, left)
	}
	j.Header = []dispatch.HeaderField{{Name: "X-Priority-Class", Value: m.Type}, {Name: "X-Tenant-Id", Value: tenant}}
	return j, nil
}

// headerText returns a header that is a string, "" for any other.
func headerText(m *amqp.Delivery, name string) string {
	text, _ := m.Headers[name].(string)
	return text
}

// readSubject notes what a job is about.
func readSubject(j *dispatch.Job, subject string) error {
	if subject == "" {
		return nil
	}
	if !clienthttp.IsHeaderSafe(subject) || strings.ContainsAny(subject, "/?#") {
		return errors.New("x-subject cannot pass on as it is")
	}
	j.Target += "/" + subject
	j.AffinityKey = dispatch.AffinityKey(subject)
	return nil
}

// readNumber reads a header that is a number of what a job takes at a worker; without it nothing changes.
func readNumber(to *float64, m *amqp.Delivery, name string) error {
	text := headerText(m, name)
	if text == "" {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v < math.MaxInt32) {
		return fmt.Errorf("%s: %q is not a figure", name, text)
	}
	*to = v
	return nil
}

// answer gives a delivery its final answer.
func (a *Adapter) answer(d delivery, answer dispatch.Answer) {
	switch answer.Kind {
	case dispatch.Served:
		a.settle(d, typeServed, nil, answer.Result)
	case dispatch.Rejected:
		retryAfter := strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', 3, 64)
		a.settle(d, typeRejected, amqp.Table{"retry-after": retryAfter}, nil)
	default:
		a.settle(d, typeFailed, nil, nil)
	}
}

// settle publishes an answer and acknowledges the delivery once the broker has confirmed it. Where that fails the broker
// delivers again, and the outcome that is remembered gives the same answer.
func (a *Adapter) settle(d delivery, kind string, header amqp.Table, body []byte) {
	defer a.unsettled.Done()
	if d.ReplyTo == "" {
		d.Ack(false)
		return
	}
	err := a.publishAnswer(d, amqp.Publishing{
		CorrelationId: d.CorrelationId,
		MessageId:     d.MessageId,
		Type:          kind,
		Headers:       header,
		Body:          body,
	})
	if err == nil {
		d.Ack(false) // a late or lost acknowledgement changes nothing: a redelivery meets the outcome
		return
	}
	log.Printf("job %s: its answer is not confirmed (%v); the broker will deliver it again", d.CorrelationId, err)
	d.Nack(false, true)
}

// errNotConfirmed is the error of an answer that the broker has refused to confirm (basic.nack).
var errNotConfirmed = errors.New("the broker has not taken it")

// publishAnswer publishes an answer and waits for the broker's confirm.
func (a *Adapter) publishAnswer(d delivery, p amqp.Publishing) error {
	confirm, err := d.session.answers.PublishWithDeferredConfirm("", d.ReplyTo, false, false, p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.limits.ConfirmTimeout)
	defer cancel()
	ok, err := confirm.WaitContext(ctx)
	if err == nil && !ok {
		return errNotConfirmed
	}
	return err
}
