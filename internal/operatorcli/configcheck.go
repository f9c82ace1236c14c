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
		if err := warnUnknownMembers(out, *path, configuration.UnknownMembers(text)); err != nil {
			return err
		}
		table := document.Table()
		return printLine(out, "%s is valid: version %d, %d routes, %d services",
			*path, document.Version(), len(table.Routes()), len(table.Services()))
	})
}

// warnUnknownMembers prints a warning for each unknown member of a JSON file. The system ignores unknown members, and
// their names are most likely misspelt.
func warnUnknownMembers(out io.Writer, path string, unknown configuration.Findings) error {
	for _, finding := range unknown {
		if err := printLine(out, "%s: warning: %s", path, finding); err != nil {
			return err
		}
	}
	return nil
}
