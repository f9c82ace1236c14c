package config

// Capture holds the settings of the recorder, which records the jobs that a dispatcher accepts, sends and answers.
// Package document reads it from an operator's file.
type Capture struct {
	Dir      string  `json:"dir"`
	RotateMB float64 `json:"rotate_mb"` // a pair of files is closed when their sizes add up to this many MB
	RotateS  float64 `json:"rotate_s"`  // or when it is this many seconds old
	GroupS   float64 `json:"group_s"`   // longest time that a row waits for its group, in seconds
	KeepMB   float64 `json:"keep_mb"`   // total beyond which closed files are deleted, oldest first; 0 keeps all
	Salt     string  `json:"salt"`      // salt of the hash of a job's affinity key
}
