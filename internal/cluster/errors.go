package cluster

import "errors"

// ErrNoPrimary means that no primary of the control group was found in time. The request was not executed.
var ErrNoPrimary = errors.New("cluster: no primary of the control group found")

// ErrOutcomeUnknown means that a call was sent but its response was lost: it may or may not have been executed.
var ErrOutcomeUnknown = errors.New("cluster: outcome of the call is unknown")
