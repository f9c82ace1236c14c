package main

import (
	"time"

	"ivyfold/internal/scale"
)

// arguments are what the command line says.
type arguments struct {
	program        string
	members        int
	zones          int
	regions        int
	workers        int
	workerInterval time.Duration
	limit          time.Duration
	plots          string
	directory      string
	options        scale.Options
}
