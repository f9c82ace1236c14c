package main

import (
	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/cli"
)

func startCommand() *cobra.Command {
	return queryCommand(&cobra.Command{
		Use:     "start NAME...",
		Short:   "Bring drained instances back",
		Example: "  gladepick start n0",
		Args:    cli.AtLeastOneArg("the names of instances"),
	})
}
