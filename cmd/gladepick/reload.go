package main

import (
	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/cli"
)

func reloadCommand() *cobra.Command {
	return queryCommand(&cobra.Command{
		Use:     "reload NAME...",
		Short:   "Tell instances to read their configuration again",
		Example: "  gladepick reload n0 n1",
		Args:    cli.AtLeastOneArg("the names of instances"),
	})
}
