package operatorcli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"
)

const (
	pathRetire      = "/api/retire/" // followed by the store's name and retireStartPath or retireReadPath
	retireStartPath = "/start"
	retireReadPath  = "/read"
)

// registerRetire adds the command retire and its subcommands.
func registerRetire(application *kingpin.Application, out io.Writer, commands Commands) {
	retire := application.Command("retire", "Empty stores, so that their machines can be removed.")
	registerRetireStart(retire, out, commands)
	registerRetireShow(retire, out, commands)
}
