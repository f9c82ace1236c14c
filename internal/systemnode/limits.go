package systemnode

import "time"

const (
	reportTimeout = time.Second
	// statusReserve is added to the time for which an ended message can be asked for.
	statusReserve = 10 * time.Second
	// exitReserve is kept of the grace between SIGTERM and SIGKILL.
	exitReserve = 800 * time.Millisecond
	// workersStaleAfter is when a store begins to read the platform's list itself.
	workersStaleAfter    = 2200 * time.Millisecond
	workersReadInterval  = time.Second
	workersReadTimeout   = 2 * time.Second
	readyAfterStored     = 4 * time.Second
	statisticsInterval   = 10 * time.Second
	settingsPollInterval = 2 * time.Second

	bytesPerMegabyte = 1 << 20
	cacheDivisor     = 8 // of the memory, one part in so many holds bodies
	ingressDivisor   = 8 // of the memory, one part in so many holds bodies on their way in
)
