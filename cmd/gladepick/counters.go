package main

import "github.com/spf13/cobra"

func countersCommand() *cobra.Command {
	return queryCommand(&cobra.Command{
		Use:     "counters [NAME...]",
		Short:   "Show what the instances count",
		Example: "  gladepick counters n0 n1",
	})
}
