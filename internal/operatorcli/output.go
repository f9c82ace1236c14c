package operatorcli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

const columnGap = 2

// table prints text in aligned columns. It keeps the first error for end.
type table struct {
	writer *tabwriter.Writer
	err    error
}

func newTable(out io.Writer, columns ...string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	if len(columns) > 0 {
		t.row(columns...)
	}
	return t
}

func (t *table) row(cells ...string) {
	if _, err := fmt.Fprintln(t.writer, strings.Join(cells, "\t")); err != nil && t.err == nil {
		t.err = err
	}
}

// end prints the table and returns the first error.
func (t *table) end() error {
	if err := t.writer.Flush(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(t.err)
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

func printLine(out io.Writer, format string, arguments ...any) error {
	_, err := fmt.Fprintf(out, format+"\n", arguments...)
	return trace.Wrap(err)
}

// orDash returns a dash in place of an empty cell.
func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}
