package ingress

import (
	"net/http"
	"sync/atomic"
)

// Counters counts the responses of a front since its start, by outcome.
type Counters struct {
	Accepted       atomic.Uint64 // responses with 202: the message is stored
	Rejected       atomic.Uint64 // responses with 503: the message is not stored and is never delivered
	OutcomeUnknown atomic.Uint64 // responses with 502: the message may be stored
	NoRoute        atomic.Uint64 // responses with 404: no route matches the message
	Invalid        atomic.Uint64 // responses with any other 4xx status to a message
	MessageQueries atomic.Uint64 // queries for a message's state or body
}

// countFailure counts the response to a message that was not accepted.
func (c *Counters) countFailure(failure *httpError) {
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
