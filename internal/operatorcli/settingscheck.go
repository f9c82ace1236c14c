package operatorcli

import (
	"context"
	"errors"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"gladepick/internal/settings"
)

// registerSettings adds the command settings check.
func registerSettings(application *kingpin.Application, out io.Writer, commands Commands) {
	parent := application.Command("settings", "Look at settings files.")
	check := parent.Command("check", "Check the settings file of a process without starting one.")
	path := check.Arg("file", "TOML file.").Required().String()
	commands.add(check, func(context.Context) error {
		loaded, err := settings.Load(*path)
		var findings settings.Findings
		if errors.As(err, &findings) {
			return &InvalidFileError{Path: *path, Err: findings}
		}
		if err != nil {
			return err
		}
		return printLine(out, "%s is valid: %s, class %s in zone %s", *path, loaded.Node, orDash(loaded.Class), loaded.Zone)
	})
}
