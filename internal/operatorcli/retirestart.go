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

// defaultRetireDuration is the default of --duration. The command sends the duration with the request, but the control
// plane does not use it.
const defaultRetireDuration = 10 * time.Second

// retireRequest is the body of a request to retire a store.
type retireRequest struct {
	DurationS float64 `json:"duration-s"`
}

// registerRetireStart adds the command retire start.
func registerRetireStart(retire *kingpin.CmdClause, out io.Writer, commands Commands) {
	start := retire.Command("start", "Order that a store is emptied.")
	connection := addConnectionFlags(start, listenerControl)
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
