package operatorcli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// registerConfigPut adds the command config put.
func registerConfigPut(config *kingpin.CmdClause, out io.Writer, commands Commands) {
	put := config.Command("put", "Put a complete configuration, or an update, in force.")
	connection := addConnectionFlags(put, listenerControl)
	update := put.Flag("update", "The file holds an update, not a complete configuration.").Bool()
	base := put.Flag("base", "Version on which it builds; without it, the version that is in force now.").String()
	path := put.Arg("file", "JSON file.").Required().String()
	commands.add(put, func(ctx context.Context) error {
		text, err := os.ReadFile(*path)
		if err != nil {
			return trace.Wrap(err)
		}
		unknownMembers := configuration.UnknownMembers
		if *update {
			unknownMembers = configuration.UnknownUpdateMembers
		}
		if err := warnUnknownMembers(out, *path, unknownMembers(text)); err != nil {
			return err
		}
		client, ctx, cancel := connection.client(ctx)
		defer cancel()
		request := Request{Method: http.MethodPost, Path: PathConfigReplace, BaseVersion: *base, Body: text}
		if *update {
			request.Path = pathConfigUpdate
		}
		if request.BaseVersion == "" {
			current, err := readConfiguration(ctx, client)
			if err != nil {
				return err
			}
			request.BaseVersion = strconv.FormatUint(current.Version(), 10)
		}
		if _, err := client.Do(ctx, request); err != nil {
			return err
		}
		return printLine(out, "version %d is in force", versionOf(text))
	})
}

// versionOf returns the version of a configuration or an update. The text must be valid JSON.
func versionOf(text []byte) uint64 {
	var header struct {
		Version uint64 `json:"version"`
	}
	_ = json.Unmarshal(text, &header) // can't fail: the system has accepted the text
	return header.Version
}
