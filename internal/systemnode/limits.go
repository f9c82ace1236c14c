package systemnode

import "time"

const (
	// reportTimeout bounds the call that reports an unreachable process to the control plane.
	reportTimeout = time.Second
	// statusReserve is added to the configured retention of an ended message's status, so that the status is available
	// a little longer than promised.
	statusReserve = 10 * time.Second
	// exitReserve is the part of the grace period, from SIGTERM to SIGKILL, that is left for closing after the drain.
	exitReserve = 800 * time.Millisecond
	// readyAfterStored is how long a front whose snapshots are not confirmed as current stays ready after it has stored
	// a message.
	readyAfterStored = 4 * time.Second
	// settingsPollInterval is the interval at which the settings file is checked for changes.
	settingsPollInterval = 2 * time.Second
)

// Intervals and time-outs of a store that reads the platform's worker list itself.
const (
	// workersStaleAfter is the age of the control plane's worker list above which a store reads the platform's list.
	workersStaleAfter   = 2200 * time.Millisecond
	workersReadInterval = time.Second
	workersReadTimeout  = 2 * time.Second
)

// Shares of the memory limit of the settings.
const (
	bytesPerMegabyte = 1 << 20
	cacheDivisor     = 8 // 1/cacheDivisor of the memory caches the bodies of stored messages
	ingressDivisor   = 8 // 1/ingressDivisor of the memory buffers the bodies of incoming requests
)
