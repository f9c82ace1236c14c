package operatorcli

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/systemnode/inspection"
)

// registerMetrics adds the command metrics.
func registerMetrics(application *kingpin.Application, out io.Writer, commands Commands) {
	metrics := application.Command("metrics", "Print the metrics of a process.")
	connection := addConnectionFlags(metrics, listenerControl)
	node := metrics.Flag("node", "A control member or a store; without it, the front that answers.").String()
	commands.add(metrics, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		path := inspection.PathMetrics
		if *node != "" {
			path += "?" + url.Values{inspection.QueryNode: {*node}}.Encode()
		}
		body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path})
		if err != nil {
			return err
		}
		_, err = out.Write(body)
		return trace.Wrap(err)
	})
}
