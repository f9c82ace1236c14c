// Command ivyfold-sim plays dispatchers on the simulator's wire: batches of
// events on standard input, one reply a batch on standard output.
package main

import (
	"fmt"
	"os"

	"gladepick/internal/wire"
)

func main() {
	h := wire.Host{Errors: os.Stderr}
	if err := h.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "ivyfold-sim:", err)
		os.Exit(1)
	}
}
