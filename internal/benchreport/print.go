package benchreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// minPrintedLoss is the smallest loss that is printed.
const minPrintedLoss = 0.0005

// Print writes the losses of the day as text.
func (l *LossReport) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tworth %.3f\n", l.Name, l.Value)
	fmt.Fprintln(table, "lost\tto")
	for _, loss := range l.Losses {
		if loss.Lost >= minPrintedLoss {
			fmt.Fprintf(table, "%.4f\t%s\n", loss.Lost, loss.Name)
		}
	}
	fmt.Fprintln(table, "\nkind\tworth\tasked\tin aim\tlate\trefused\tfailed")
	for _, class := range l.Classes {
		printCount(table, class)
		fmt.Fprintln(table)
	}
	fmt.Fprintln(table, "\nfrom second\tworth\tasked\tin aim\tlate\trefused\tfailed\tmeanwhile")
	for _, span := range l.Spans {
		printCount(table, span.RequestCounts)
		fmt.Fprintf(table, "\t%s\n", kindsOf(span.Events))
	}
	return table.Flush()
}

func printCount(out io.Writer, count RequestCounts) {
	fmt.Fprintf(out, "%s\t%.3f\t%d\t%d\t%d\t%d\t%d",
		count.Name, count.Value, count.Total, count.OnTime, count.Late, count.Rejected, count.Failed)
}

// kindsOf returns the distinct kinds of the events, separated by commas.
func kindsOf(events []Event) string {
	var kinds []string
	seen := map[string]bool{}
	for _, event := range events {
		if !seen[event.Kind] {
			seen[event.Kind] = true
			kinds = append(kinds, event.Kind)
		}
	}
	return strings.Join(kinds, ", ")
}

// PrintMeans writes the means over several days as text.
func PrintMeans(out io.Writer, means []Mean) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "mean\terror\tof")
	for _, mean := range means {
		if mean.Mean >= minPrintedLoss {
			fmt.Fprintf(table, "%.4f\t%.4f\t%s\n", mean.Mean, mean.Error, mean.Name)
		}
	}
	return table.Flush()
}
