package operatorcli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// newView returns the Runner of a command that reads a JSON value at a path and prints it, by a function or as
// JSON.
func newView[Value any](
	command *kingpin.CmdClause, path string, out io.Writer, print func(io.Writer, Value) error,
) Runner {
	connection := addConnection(command, listenerControl)
	output := addOutput(command)
	return func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		var value Value
		if err := json.Unmarshal(body, &value); err != nil {
			return trace.Wrap(err, "reading the answer")
		}
		if *output == outputJSON {
			return printJSON(out, value)
		}
		return print(out, value)
	}
}
