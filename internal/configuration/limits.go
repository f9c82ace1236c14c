package configuration

import (
	"time"

	"gladepick/internal/configuration/configurationpb"
)

// Limits that apply if the operator states none or 0.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 256 << 10
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
)

// Limits holds the bounds on the size and duration of clients' requests.
type Limits struct {
	MaxHeaderBytes int           // size of the request line and all header fields
	MaxBodyBytes   int           // size of one message's body
	HeaderTimeout  time.Duration // from a request's first byte to the end of its header
	IdleTimeout    time.Duration // how long a connection may stay open without a request
}

// newLimits converts the limits of a configuration. A nil message yields the defaults.
func newLimits(message *configurationpb.Limits) Limits {
	limits := Limits{
		MaxHeaderBytes: toInteger(message.GetMaxHeaderBytes()),
		MaxBodyBytes:   toInteger(message.GetMaxBodyBytes()),
		HeaderTimeout:  toDuration(message.GetHeaderTimeoutMs(), time.Millisecond),
		IdleTimeout:    toDuration(message.GetIdleTimeoutMs(), time.Millisecond),
	}
	setDefault(&limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	setDefault(&limits.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&limits.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&limits.IdleTimeout, defaultIdleTimeout)
	return limits
}

// setDefault sets a field that has its zero value.
func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
