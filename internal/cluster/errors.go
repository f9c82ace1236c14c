package cluster

import "errors"

// ErrNoPrimary means that no primary of the control group was found in time. Nothing was carried out.
var ErrNoPrimary = errors.New("cluster: no primary of the control group found")

// ErrOutcomeUnknown means that a call was sent and may have been carried out or not.
var ErrOutcomeUnknown = errors.New("cluster: outcome of the call is unknown")
