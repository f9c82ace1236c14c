package operatorcli

import (
	"io"

	"github.com/alecthomas/kingpin/v2"
)

const (
	pathRetire      = "/api/retire/" // followed by the store's name and one of the two below
	retireStartPath = "/start"
	retireReadPath  = "/read"
)

// registerRetire adds the command retire, with its subcommands.
func registerRetire(application *kingpin.Application, out io.Writer, commands Commands) {
	retire := application.Command("retire", "Empty stores, so that their machines can be removed.")
	registerRetireStart(retire, out, commands)
	registerRetireShow(retire, out, commands)
}
