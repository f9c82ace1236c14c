package main

import "github.com/spf13/cobra"

func statusCommand() *cobra.Command {
	return queryCommand(&cobra.Command{
		Use:     "status [NAME...]",
		Short:   "Show what the instances do",
		Example: "  gladepick status --agent 127.0.0.1:7470 n0",
	})
}
