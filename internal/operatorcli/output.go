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

// table writes rows with aligned columns. It stores the first error, which flush returns.
type table struct {
	writer *tabwriter.Writer
	err    error
}

// newTable returns a table with a header row, or without one if no columns are given.
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

// flush writes the table to its writer and returns the first error.
func (t *table) flush() error {
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

// orDash returns the cell, or "-" if it is empty.
func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}
