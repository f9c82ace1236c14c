package main

import (
	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/cli"
)

func drainCommand() *cobra.Command {
	return queryCommand(&cobra.Command{
		Use:     "drain NAME...",
		Short:   "Tell instances to answer what they have, leave and stay away",
		Example: "  gladepick drain n0",
		Args:    cli.AtLeastOneArg("the names of instances"),
	})
}
