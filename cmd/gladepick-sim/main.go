// Command gladepick-sim plays dispatchers on the simulator's wire: batches of events on
// standard input, one reply a batch on standard output. Package simadapter does the work.
package main

import (
	"fmt"
	"os"

	"gladepick/internal/dispatcher/simadapter"
	"gladepick/internal/programname"
)

const formerName, currentName = "ivyfold-sim", "gladepick-sim"

func main() {
	programname.WarnIfFormer(os.Stderr, os.Args[0], formerName, currentName)
	h := simadapter.Host{PanicLog: os.Stderr}
	if err := h.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, currentName+":", err)
		os.Exit(1)
	}
}
