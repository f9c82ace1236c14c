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

// Paths of the queries for a message. The message's ID is appended.
const (
	pathMessageState = "/api/message/"
	pathMessageBody  = "/api/message-body/"
)

// messageState is the response to a query for a message's state. The command adds the ID and prints it.
type messageState struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Stamp string `json:"stamp,omitempty"`
}

// registerMessage adds the command message show.
func registerMessage(application *kingpin.Application, out io.Writer, commands Commands) {
	message := application.Command("message", "Look at a message.")
	show := message.Command("show", "Show how a message stands, or its body.")
	connection := addConnectionFlags(show, listenerClient)
	output := addOutputFlag(show)
	printBody := show.Flag("body", "Print the body of a message that is queued or dead.").Bool()
	host := show.Flag("host", "Host to which the message was sent.").String()
	id := show.Arg("id", "The message's ID.").Required().String()
	commands.add(show, func(ctx context.Context) error {
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		if *printBody {
			return showBody(ctx, client, out, *id, *host)
		}
		return showState(ctx, client, out, *id, *host, *output)
	})
}

func showBody(ctx context.Context, client *Client, out io.Writer, id, host string) error {
	path := pathMessageBody + url.PathEscape(id)
	body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path, Host: host})
	if err != nil {
		return err
	}
	_, err = out.Write(body)
	return trace.Wrap(err)
}

func showState(ctx context.Context, client *Client, out io.Writer, id, host, output string) error {
	path := pathMessageState + url.PathEscape(id)
	body, err := client.Do(ctx, Request{Method: http.MethodGet, Path: path, Host: host})
	if err != nil {
		return err
	}
	state := messageState{}
	if err := json.Unmarshal(body, &state); err != nil {
		return trace.Wrap(err, "decoding the response")
	}
	state.ID = id
	if output == outputJSON {
		return printJSON(out, state)
	}
	t := newTable(out, "ID", "STATE", "STAMP")
	t.row(state.ID, state.State, orDash(state.Stamp))
	return t.flush()
}
