package operatorcli

import (
	"context"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

// registerConfigGet adds the command config get.
func registerConfigGet(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	get := config.Command("get", "Print the newest configuration as it was sent.")
	connection := addConnectionFlags(get, listenerControl)
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
