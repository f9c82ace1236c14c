package config

// Worker is one entry of the list of workers, as discovery sends it.
type Worker struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time
	Queue       string  `json:"-"`           // set if the worker takes its jobs over AMQP
}

// WorkerList is a list of workers: all of them if Reset is set, otherwise only the changed ones.
type WorkerList struct {
	Generation int64    `json:"generation"` // version of the list
	Reset      bool     `json:"reset"`
	Workers    []Worker `json:"instances"`
}
