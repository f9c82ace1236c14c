// Command gladepick-benchreport prints what caused the loss of value on measured days, as text or as JSON. It reads the
// reports that the bench writes with --report. Its flags and its output use the terms of the bench.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"gladepick/internal/benchreport"
	"gladepick/internal/programname"
)

// formerName is the program's former name. The build links it to the program, and its use prints a warning.
const formerName, currentName = "gladepick-ledger", "gladepick-benchreport"

// defaultSpans is how many time spans are printed for each day.
const defaultSpans = 4

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the parsed command line.
type arguments struct {
	reports []string
	spans   int
	json    bool
	plot    string
}

func main() {
	programname.WarnIfFormer(os.Stderr, os.Args[0], formerName, currentName)
	parsed, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, currentName+":", err)
		os.Exit(exitUsage)
	}
	if err := run(parsed, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, currentName+":", trace.UserMessage(err))
		os.Exit(exitFailed)
	}
}

// parse parses the command line. It returns an error if a report does not exist.
func parse(args []string) (arguments, error) {
	var parsed arguments
	application := kingpin.New(currentName, "Say where the worth of measured days was lost.")
	application.Arg("report", "A report of a day, or several.").Required().ExistingFilesVar(&parsed.reports)
	application.Flag("spans", "Spans of time to tell of each day, the worst first.").
		Default(fmt.Sprint(defaultSpans)).IntVar(&parsed.spans)
	application.Flag("json", "Print JSON.").BoolVar(&parsed.json)
	application.Flag("plot", "Draw the worth over time into this file (.svg, .png, .pdf).").StringVar(&parsed.plot)
	_, err := application.Parse(args)
	return parsed, err
}

// summary is the output of the program, printed as text or as JSON.
type summary struct {
	Days  []*benchreport.LossReport `json:"days"`
	Means []benchreport.Mean        `json:"means,omitempty"` // only with more than one day
}

// run reads the reports, draws the plot if --plot is set, and prints the summary.
func run(parsed arguments, out io.Writer) error {
	result, err := readReports(parsed)
	if err != nil {
		return trace.Wrap(err)
	}
	if parsed.plot != "" {
		if err := benchreport.Plot(parsed.plot, result.Days); err != nil {
			return trace.Wrap(err)
		}
	}
	if parsed.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(result))
	}
	return trace.Wrap(result.print(out))
}

// readReports reads the reports and computes the losses of each day and, for several days, their means.
func readReports(parsed arguments) (*summary, error) {
	result := &summary{}
	for _, path := range parsed.reports {
		report, err := benchreport.Read(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		result.Days = append(result.Days, benchreport.NewLossReport(name, report, max(parsed.spans, 0)))
	}
	if len(result.Days) > 1 {
		result.Means = benchreport.MeansOf(result.Days)
	}
	return result, nil
}

func (s *summary) print(out io.Writer) error {
	for _, day := range s.Days {
		if err := day.Print(out); err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintln(out)
	}
	if len(s.Means) == 0 {
		return nil
	}
	return trace.Wrap(benchreport.PrintMeans(out, s.Means))
}
