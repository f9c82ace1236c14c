package main

import "github.com/spf13/cobra"

func planCommand() *cobra.Command {
	return fullCommand(&cobra.Command{Use: "plan GOAL", Short: "Answer what breaks first, how many workers a goal needs, and what losing a zone costs"})
}
