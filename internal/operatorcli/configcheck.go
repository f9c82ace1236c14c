package operatorcli

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// registerConfigCheck adds the command config check.
func registerConfigCheck(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	check := config.Command("check", "Check a complete configuration without calling any process.")
	strict := addStrict(check)
	path := check.Arg("file", "JSON file.").Required().String()
	commands.add(check, func(context.Context) error {
		text, err := os.ReadFile(*path)
		if err != nil {
			return trace.Wrap(err)
		}
		document, err := configuration.Parse(text)
		if err != nil {
			return &InvalidFileError{Path: *path, Err: err}
		}
		if err := reportUnread(out, *path, configuration.UnknownMembers(text), *strict); err != nil {
			return err
		}
		table := document.Table()
		return printLine(out, "%s is valid: version %d, %d routes, %d services",
			*path, document.Version(), len(table.Routes()), len(table.Services()))
	})
}

// addStrict adds the flag that makes members which nobody reads an error.
func addStrict(command *kingpin.CmdClause) *bool {
	return command.Flag("strict", "Refuse a file with members that are not read, instead of printing warnings.").Bool()
}

// reportUnread prints a warning for each member of a file that is not read: it is most likely misspelt. With strict they
// are an error.
func reportUnread(out io.Writer, path string, unread configuration.Findings, strict bool) error {
	if strict && len(unread) > 0 {
		return &InvalidFileError{Path: path, Err: unread}
	}
	for _, finding := range unread {
		if err := printLine(out, "%s: warning: %s", path, finding); err != nil {
			return err
		}
	}
	return nil
}
