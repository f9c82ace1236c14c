package config

import (
	"fmt"
	"strings"
)

// AMQP holds the settings of a broker, at which clients submit jobs and workers take them. It is read from an
// operator's file.
type AMQP struct {
	URL      string       `toml:"url"`
	JobQueue string       `toml:"jobs"`     // the queue to which clients publish jobs
	Prefetch int          `toml:"prefetch"` // maximum number of unacknowledged deliveries
	Workers  []AMQPWorker `toml:"worker"`
}

// AMQPWorker is a worker that consumes its jobs from a queue of the broker.
type AMQPWorker struct {
	ID    string `toml:"id"`
	Queue string `toml:"queue"`
	Zone  string `toml:"zone"`
	Kind  string `toml:"kind"`
	Cell  int    `toml:"cell"`
}

// loadAMQP reads the operator's file for a broker.
func loadAMQP(path string, n *Node) (*AMQP, error) {
	var file struct {
		AMQP AMQP `toml:"amqp"`
	}
	if err := decodeTOML(path, &file); err != nil {
		return nil, err
	}
	a, at := &file.AMQP, section{path, "amqp"}
	if !strings.HasPrefix(a.URL, "amqp://") && !strings.HasPrefix(a.URL, "amqps://") {
		// The error omits the URL, which may contain a password.
		return nil, at.errorf("url", "it does not begin with amqp:// or amqps://")
	}
	if a.JobQueue == "" {
		return nil, at.errorf("jobs", "the name of a queue is missing")
	}
	if a.Prefetch == 0 {
		a.Prefetch = n.Limits.OpenJobs / 2
	}
	if a.Prefetch < 1 || a.Prefetch > n.Limits.OpenJobs {
		return nil, at.errorf("prefetch", "%d is not in 1 to %d", a.Prefetch, n.Limits.OpenJobs)
	}
	seen := map[string]bool{}
	for i, w := range a.Workers {
		at := section{path, fmt.Sprintf("amqp.worker.%d", i)}
		switch {
		case w.ID == "" || seen[w.ID]:
			return nil, at.errorf("id", "%q is missing or a duplicate", w.ID)
		case w.Queue == "":
			return nil, at.errorf("queue", "the name of a queue is missing")
		case Index(n.Zones, w.Zone) < 0:
			return nil, at.errorf("zone", "%q is not one of %v", w.Zone, n.Zones)
		case Index(n.Kinds, w.Kind) < 0:
			return nil, at.errorf("kind", "%q is not one of %v", w.Kind, n.Kinds)
		}
		seen[w.ID] = true
	}
	return a, nil
}
