package operatorcli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// newViewRunner adds the flags of a command and returns its Runner. The Runner reads the JSON value at a path of a
// front and prints it, with printTable or as JSON.
func newViewRunner[Value any](
	command *kingpin.CmdClause, path string, out io.Writer, printTable func(io.Writer, Value) error,
) Runner {
	connection := addConnectionFlags(command, listenerControl)
	output := addOutputFlag(command)
	return func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		var value Value
		if err := json.Unmarshal(body, &value); err != nil {
			return trace.Wrap(err, "decoding the response")
		}
		if *output == outputJSON {
			return printJSON(out, value)
		}
		return printTable(out, value)
	}
}
