package config

// Capture sets up the recorder of what a dispatcher takes, sends and answers. Its file is an operator's, and read by
// package document.
type Capture struct {
	Dir      string  `json:"dir"`
	RotateMB float64 `json:"rotate_mb"` // a pair of files is closed at this size together
	RotateS  float64 `json:"rotate_s"`  // or at this age
	GroupS   float64 `json:"group_s"`   // rows wait for their group no longer than this
	KeepMB   float64 `json:"keep_mb"`   // closed files of this dispatcher beyond this go, oldest first; 0 keeps all
	Salt     string  `json:"salt"`      // what jobs are about is hashed with it
}
