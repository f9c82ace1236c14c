package config

// Worker is one entry of the list of workers, as discovery has it.
type Worker struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time
	Queue       string  `json:"-"`           // set where the worker takes its jobs over AMQP
}

// WorkerList is a list of workers, complete (Reset) or only what changed.
type WorkerList struct {
	Generation int64    `json:"generation"` // its version
	Reset      bool     `json:"reset"`
	Workers    []Worker `json:"instances"`
}
