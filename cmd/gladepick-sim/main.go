// Command gladepick-sim runs dispatchers for the simulator: it reads batches of events from standard input and writes
// one reply for each batch to standard output. Package simadapter implements the protocol.
package main

import (
	"fmt"
	"os"

	"gladepick/internal/dispatcher/simadapter"
	"gladepick/internal/programname"
)

// formerName is the program's former name. The build links it to the program, and its use prints a warning.
const formerName, currentName = "ivyfold-sim", "gladepick-sim"

func main() {
	programname.WarnIfFormer(os.Stderr, os.Args[0], formerName, currentName)
	host := simadapter.Host{PanicLog: os.Stderr}
	if err := host.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, currentName+":", err)
		os.Exit(1)
	}
}
