// Command gladepick-benchreport says where the worth of measured days was lost. It reads the reports that the bench writes with
// --report.
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

const formerName, currentName = "gladepick-ledger", "gladepick-benchreport"

// defaultSpans is how many spans of time are told of each day.
const defaultSpans = 4

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the command line's.
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

// result is what is printed as JSON.
type result struct {
	Days  []*benchreport.Ledger `json:"days"`
	Means []benchreport.Mean    `json:"means,omitempty"` // of several days
}

func run(parsed arguments, out io.Writer) error {
	made, err := read(parsed)
	if err != nil {
		return trace.Wrap(err)
	}
	if parsed.plot != "" {
		if err := benchreport.Plot(parsed.plot, made.Days); err != nil {
			return trace.Wrap(err)
		}
	}
	if parsed.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(made))
	}
	return trace.Wrap(made.print(out))
}

func read(parsed arguments) (*result, error) {
	made := &result{}
	for _, path := range parsed.reports {
		report, err := benchreport.Read(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		made.Days = append(made.Days, benchreport.Of(name, report, max(parsed.spans, 0)))
	}
	if len(made.Days) > 1 {
		made.Means = benchreport.MeansOf(made.Days)
	}
	return made, nil
}

func (r *result) print(out io.Writer) error {
	for _, day := range r.Days {
		if err := day.Print(out); err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintln(out)
	}
	if len(r.Means) == 0 {
		return nil
	}
	return trace.Wrap(benchreport.PrintMeans(out, r.Means))
}
