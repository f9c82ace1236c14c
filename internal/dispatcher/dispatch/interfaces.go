package dispatch

import "gladepick/internal/dispatcher/config"

// Transport sends attempts to workers. The core's goroutine calls both methods; neither may block.
type Transport interface {
	// Send starts an attempt. The transport calls Attempt.MayStart just before it writes the first byte, and
	// Attempt.End exactly once.
	Send(*Attempt)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(config.Worker)
}

// Submitter accepts jobs from the fronts. It is the Core, or package durablejobs, which replicates jobs before it
// passes them to the Core.
type Submitter interface {
	// Submit accepts a job. If it returns nil, the job's Reply is called exactly once, unless Abandon comes first; if
	// it returns an error, never.
	Submit(*Job) error
	// Abandon reports that the client of an accepted job has disconnected.
	Abandon(*Job)
}

// ListWatcher watches discovery's list of workers.
type ListWatcher interface {
	// Watch requests a watch on the list if on is set. It must not block.
	Watch(on bool)
}
