package main

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"gladepick/internal/dispatcher/cli"
	"gladepick/internal/dispatcher/config/document"
)

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "schema [NAME]",
		Short:   "Print the JSON Schema of an operator's file, or list the schemas",
		Example: "  gladepick schema capture",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 1 {
				return cli.MisuseErrorf("schema needs one name at most")
			}
			return nil
		},
		ValidArgs: document.SchemaNames(),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				_, err := fmt.Fprintln(c.OutOrStdout(), strings.Join(document.SchemaNames(), "\n"))
				return err
			}
			text, err := document.Schema(args[0])
			if err != nil {
				return cli.MisuseErrorf("%w", err)
			}
			_, err = c.OutOrStdout().Write(text)
			return err
		},
	}
}
