package operatorcli

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// Paths of the calls that read and change the configuration. PathConfigReplace is exported because package demo sends
// the first configuration with it.
const (
	pathConfigRead    = "/api/config/read"
	PathConfigReplace = "/api/config/replace"
	pathConfigUpdate  = "/api/config/update"
)

// registerConfiguration adds the command config and its subcommands.
func registerConfiguration(application *kingpin.Application, out io.Writer, commands Commands) {
	config := application.Command("config", "Read, check and change the configuration.")
	registerConfigGet(config, out, commands)
	registerConfigPut(config, out, commands)
	registerConfigDiff(config, out, commands)
	registerConfigCheck(config, out, commands)
}

// readConfiguration returns the configuration in force. It returns nil if there is none yet.
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
