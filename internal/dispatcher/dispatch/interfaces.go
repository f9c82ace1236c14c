package dispatch

import "gladepick/internal/dispatcher/config"

// Transport carries attempts to workers. Neither method may block.
type Transport interface {
	// Send starts an attempt. The transport asks Attempt.MayStart before its first byte and calls Attempt.End once.
	Send(*Attempt)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(config.Worker)
}

// Submitter is what a front gives its jobs to: the Core, or what makes jobs durable and hands them on.
type Submitter interface {
	// Submit takes a job. After nil the job's Reply is called once; after an error never.
	Submit(*Job) error
	// Abandon tells that the client of a job that was taken has gone.
	Abandon(*Job)
}

// ListWatcher keeps the watch on the list of workers.
type ListWatcher interface {
	// Watch asks for a watch on the list. It must not block.
	Watch(on bool)
}
