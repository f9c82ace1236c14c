package main

import "github.com/spf13/cobra"

func startCommand() *cobra.Command {
	return question(&cobra.Command{
		Use:     "start NAME...",
		Short:   "Bring drained instances back",
		Example: "  gladepick start n0",
		Args:    some("the names of instances"),
	})
}
