package operatorcli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

const (
	pathRetire      = "/api/retire/" // followed by the store's name and one of the two below
	retireStartPath = "/start"
	retireReadPath  = "/read"

	defaultRetireDuration = 10 * time.Second
)

// retireOrder is the body of an order to empty a store.
type retireRequest struct {
	DurationS float64 `json:"duration-s"`
}

// retireState is the answer to a question about a retiring store.
type retireState struct {
	Node  string `json:"node"`
	State string `json:"state"`
}

func registerRetire(application *kingpin.Application, out io.Writer, commands Commands) {
	retire := application.Command("retire", "Empty stores, so that their machines can be removed.")
	registerRetireStart(retire, out, commands)
	registerRetireShow(retire, out, commands)
}

func registerRetireStart(retire *kingpin.CmdClause, out io.Writer, commands Commands) {
	start := retire.Command("start", "Order that a store is emptied.")
	connection := addConnection(start, listenerControl)
	duration := start.Flag("duration", "How long it may take.").Default(defaultRetireDuration.String()).Duration()
	node := start.Arg("node", "The store's name.").Required().String()
	commands.add(start, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		body, err := json.Marshal(retireRequest{DurationS: duration.Seconds()})
		if err != nil {
			return trace.Wrap(err)
		}
		path := pathRetire + url.PathEscape(*node) + retireStartPath
		if _, err := client.Do(ctx, Request{Method: http.MethodPost, Path: path, Body: body}); err != nil {
			return err
		}
		return printLine(out, "%s is being emptied", *node)
	})
}

func registerRetireShow(retire *kingpin.CmdClause, out io.Writer, commands Commands) {
	show := retire.Command("show", "Show how far the emptying of a store is.")
	connection := addConnection(show, listenerControl)
	output := addOutput(show)
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
			return trace.Wrap(err, "reading the answer")
		}
		state.Node = *node
		if *output == outputJSON {
			return printJSON(out, state)
		}
		t := newTable(out, "NODE", "STATE")
		t.row(state.Node, state.State)
		return t.end()
	})
}
