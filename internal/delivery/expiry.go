package delivery

import (
	"time"

	"gladepick/internal/message"
)

// minExpiryInterval is the shortest time between two searches for expired messages.
const minExpiryInterval = time.Second

// endedMessage is a message that ended without an attempt.
type endedMessage struct {
	message *message.Message
	outcome message.Outcome
}

// expire ends the messages whose retention has expired, except those that are dispatched.
func (e *Engine) expire(now time.Duration) {
	if now < e.nextExpiry {
		return
	}
	e.nextExpiry = never
	var expired []*queuedMessage
	e.backlog.forEach(func(queued *queuedMessage) {
		if queued.expired(now) && queued.state != dispatched {
			expired = append(expired, queued)
			return
		}
		e.nextExpiry = min(e.nextExpiry, max(queued.expires, now+minExpiryInterval))
	})
	e.deadLetterAll(expired)
}

// deadLetterAll ends messages that will never be delivered. Ending one message can end others that waited behind it, so
// messages that have already ended are skipped.
func (e *Engine) deadLetterAll(messages []*queuedMessage) {
	for _, queued := range messages {
		if queued.linked {
			e.endWithoutAttempt(queued, deadLetter)
		}
	}
}

// endWithoutAttempt ends a message. The owner is notified at the end of the turn.
func (e *Engine) endWithoutAttempt(queued *queuedMessage, outcome message.Outcome) {
	e.ended = append(e.ended, endedMessage{queued.message, outcome})
	e.remove(queued)
}

// notifyEnded reports to the owner the messages that ended without an attempt. It calls the owner on a separate
// goroutine, because the owner may block and the loop must not. Run waits for that goroutine.
func (e *Engine) notifyEnded() {
	if len(e.ended) == 0 {
		return
	}
	messages := e.ended
	e.ended = nil
	e.ownerCalls.Go(func() {
		for _, ended := range messages {
			e.options.Owner.Ended(ended.message, ended.outcome)
		}
	})
}
