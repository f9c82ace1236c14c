package operatorcli

import (
	"io"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"gladepick/internal/systemnode/inspection"
)

// registerPartitions adds the command partitions.
func registerPartitions(application *kingpin.Application, out io.Writer, commands Commands) {
	partitions := application.Command("partitions", "List the partitions and the stores that keep them.")
	commands.add(partitions, newViewRunner(partitions, inspection.PathPartitions, out, printPartitions))
}

func printPartitions(out io.Writer, partitions []inspection.Partition) error {
	t := newTable(out, "ID", "EPOCH", "PRIMARY", "SYNCED", "COPYING", "WANTED")
	for _, partition := range partitions {
		t.row(
			strconv.Itoa(partition.ID),
			strconv.FormatUint(partition.Epoch, 10),
			orDash(partition.Primary),
			orDash(strings.Join(partition.Synced, ",")),
			orDash(strings.Join(partition.Copying, ",")),
			orDash(partition.PreferredPrimary),
		)
	}
	return t.flush()
}
