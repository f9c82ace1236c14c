package main

import "github.com/spf13/cobra"

func schemaCommand() *cobra.Command {
	return fullCommand(&cobra.Command{Use: "schema [NAME]", Short: "Print the JSON Schema of an operator's file, or list the schemas"})
}
