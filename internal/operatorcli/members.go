package operatorcli

import (
	"io"
	"strconv"

	"github.com/alecthomas/kingpin/v2"

	"gladepick/internal/systemnode/inspection"
)

// registerMembers adds the command members.
func registerMembers(application *kingpin.Application, out io.Writer, commands Commands) {
	members := application.Command("members", "List the control members and the stores.")
	commands.add(members, newViewRunner(members, inspection.PathMembers, out, printMembers))
}

func printMembers(out io.Writer, members []inspection.Member) error {
	t := newTable(out, "NAME", "ROLE", "ZONE", "ADDRESS", "STATE", "LEADS", "HOLDS")
	for _, member := range members {
		leads, holds := strconv.Itoa(member.Leads), strconv.Itoa(member.Holds)
		if member.Role != inspection.RoleStore {
			leads, holds = "-", "-"
		}
		t.row(member.Name, member.Role, orDash(member.Zone), member.Address, member.State, leads, holds)
	}
	return t.flush()
}
