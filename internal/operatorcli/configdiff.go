package operatorcli

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// registerConfigDiff adds the command config diff.
func registerConfigDiff(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	diff := config.Command("diff", "Tell what a file would change in the configuration in force.")
	connection := addConnectionFlags(diff, listenerControl)
	output := addOutputFlag(diff)
	update := diff.Flag("update", "The file holds an update, not a complete configuration.").Bool()
	path := diff.Arg("file", "JSON file.").Required().String()
	commands.add(diff, func(ctx context.Context) error {
		text, err := os.ReadFile(*path)
		if err != nil {
			return trace.Wrap(err)
		}
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		current, err := readConfiguration(ctx, client)
		if err != nil {
			return err
		}
		next, err := nextConfiguration(current, text, *update)
		if err != nil {
			return &InvalidFileError{Path: *path, Err: err}
		}
		return printDiff(out, *output, configuration.Diff(current, next))
	})
}

// nextConfiguration returns the configuration that would be in force after a file is put. The file contains an update
// of current if update is set, or else a complete configuration.
func nextConfiguration(current *configuration.Document, text []byte, update bool) (*configuration.Document, error) {
	if update {
		return current.Update(text)
	}
	return configuration.Parse(text)
}

// printDiff prints the lines of a difference, either as text or as a JSON list, which is [] if there is no difference.
func printDiff(out io.Writer, output string, lines []string) error {
	if output == outputJSON {
		if lines == nil {
			lines = []string{}
		}
		return printJSON(out, lines)
	}
	if len(lines) == 0 {
		return printLine(out, "no difference")
	}
	for _, line := range lines {
		if err := printLine(out, "%s", line); err != nil {
			return err
		}
	}
	return nil
}
