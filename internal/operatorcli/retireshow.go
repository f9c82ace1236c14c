package operatorcli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// retireState is the response to a query for the retirement of a store. The command adds the store's name and prints
// it.
type retireState struct {
	Node  string `json:"node"`
	State string `json:"state"`
}

// registerRetireShow adds the command retire show.
func registerRetireShow(retire *kingpin.CmdClause, out io.Writer, commands Commands) {
	show := retire.Command("show", "Show how far the emptying of a store is.")
	connection := addConnectionFlags(show, listenerControl)
	output := addOutputFlag(show)
	node := show.Arg("node", "The store's name.").Required().String()
	commands.add(show, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		path := pathRetire + url.PathEscape(*node) + retireReadPath
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		state := retireState{}
		if err := json.Unmarshal(body, &state); err != nil {
			return trace.Wrap(err, "decoding the response")
		}
		state.Node = *node
		if *output == outputJSON {
			return printJSON(out, state)
		}
		t := newTable(out, "NODE", "STATE")
		t.row(state.Node, state.State)
		return t.flush()
	})
}
