package operatorcli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// Paths of the configuration's calls.
const (
	pathConfigRead    = "/api/config/read"
	PathConfigReplace = "/api/config/replace"
	pathConfigUpdate  = "/api/config/update"
)

func registerConfiguration(application *kingpin.Application, out io.Writer, commands Commands) {
	config := application.Command("config", "Read, check and change the configuration.")
	registerConfigGet(config, out, commands)
	registerConfigPut(config, out, commands)
	registerConfigDiff(config, out, commands)
	registerConfigCheck(config, out, commands)
}

func registerConfigGet(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	get := config.Command("get", "Print the newest configuration as it was sent.")
	connection := addConnection(get, listenerControl)
	commands.add(get, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: pathConfigRead})
		if err != nil {
			return err
		}
		return printLine(out, "%s", body)
	})
}

func registerConfigPut(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	put := config.Command("put", "Put a complete configuration, or an update, in force.")
	connection := addConnection(put, listenerControl)
	update := put.Flag("update", "The file holds an update, not a complete configuration.").Bool()
	base := put.Flag("base", "Version on which it builds; without it, the version that is in force now.").String()
	path := put.Arg("file", "JSON file.").Required().String()
	commands.add(put, func(ctx context.Context) error {
		text, err := os.ReadFile(*path)
		if err != nil {
			return trace.Wrap(err)
		}
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		order := Request{Method: http.MethodPost, Path: PathConfigReplace, Base: *base, Body: text}
		if *update {
			order.Path = pathConfigUpdate
		}
		if order.Base == "" {
			current, err := readConfiguration(ctx, client)
			if err != nil {
				return err
			}
			order.Base = strconv.FormatUint(current.Version(), 10)
		}
		if _, err := client.Do(ctx, order); err != nil {
			return err
		}
		return printLine(out, "version %d is in force", versionOf(text))
	})
}

// versionOf returns the version that a configuration or an update states.
func versionOf(text []byte) uint64 {
	var header struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal(text, &header) // the system has accepted it
	return header.Version
}

// readConfiguration returns the newest configuration, or nil where there is none yet.
func readConfiguration(ctx context.Context, client *Client) (*configuration.Document, error) {
	body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: pathConfigRead})
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	document, err := configuration.Parse(body)
	return document, trace.Wrap(err, "reading the configuration in force")
}

func registerConfigDiff(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	diff := config.Command("diff", "Tell what a file would change in the configuration in force.")
	connection := addConnection(diff, listenerControl)
	output := addOutput(diff)
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

func nextConfiguration(current *configuration.Document, text []byte, update bool) (*configuration.Document, error) {
	if update {
		return current.Update(text)
	}
	return configuration.Parse(text)
}

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
		table := document.Table()
		return printLine(out, "%s is valid: version %d, %d routes, %d services",
			*path, document.Version(), len(table.Routes()), len(table.Services()))
	})
}
