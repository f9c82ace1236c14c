package ingress

import (
	"net/http"
	"sync/atomic"
)

// Counters counts what a front has answered since its start.
type Counters struct {
	Accepted       atomic.Uint64 // 202: the message is stored
	Rejected       atomic.Uint64 // 503: the message is not stored and will never run
	OutcomeUnknown atomic.Uint64 // 502: the message may be stored
	NoRoute        atomic.Uint64 // 404: no route matches
	Invalid        atomic.Uint64 // any other 4xx to a message
	MessageQueries atomic.Uint64 // queries about a message's state or body
}

// countRejection counts the answer to a message that was not accepted.
func (c *Counters) countRejection(failure *httpError) {
	switch failure.Status {
	case http.StatusServiceUnavailable:
		c.Rejected.Add(1)
	case http.StatusBadGateway:
		c.OutcomeUnknown.Add(1)
	case http.StatusNotFound:
		c.NoRoute.Add(1)
	default:
		c.Invalid.Add(1)
	}
}
