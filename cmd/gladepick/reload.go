package main

import "github.com/spf13/cobra"

func reloadCommand() *cobra.Command {
	return question(&cobra.Command{
		Use:     "reload NAME...",
		Short:   "Tell instances to read their configuration again",
		Example: "  gladepick reload n0 n1",
		Args:    some("the names of instances"),
	})
}
