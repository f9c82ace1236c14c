package systemnode

import "time"

const (
	// reportTimeout bounds a report to the control plane that a process can't be reached.
	reportTimeout = time.Second
	// statusReserve is added to the time for which an ended message can be queried, so that it is kept a little longer
	// than promised.
	statusReserve = 10 * time.Second
	// exitReserve is the part of the time between SIGTERM and SIGKILL that is left for closing after the drain.
	exitReserve = 800 * time.Millisecond
	// readyAfterStored is how long a front without a fresh control plane stays ready after it has stored a message.
	readyAfterStored = 4 * time.Second
	// settingsPollInterval is the time between two looks at the settings file.
	settingsPollInterval = 2 * time.Second
)

// How a store reads the platform's list of workers itself.
const (
	// workersStaleAfter is the age of the control plane's list after which a store reads the platform's.
	workersStaleAfter   = 2200 * time.Millisecond
	workersReadInterval = time.Second
	workersReadTimeout  = 2 * time.Second
)

// Shares of the memory of the settings.
const (
	bytesPerMegabyte = 1 << 20
	cacheDivisor     = 8 // one part in so many holds the bodies of stored messages
	ingressDivisor   = 8 // one part in so many holds the bodies of requests that are being received
)
