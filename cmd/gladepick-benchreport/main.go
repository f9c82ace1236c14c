// Command gladepick-benchreport says where measured days lost value. It reads the reports that the bench writes with
// --report, and prints text or JSON. Its flags and its output use the bench's words.
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

// The program also goes by its former name, with a warning.
const formerName, currentName = "gladepick-ledger", "gladepick-benchreport"

// defaultSpans is how many spans of time are printed of each day.
const defaultSpans = 4

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// arguments are the parsed command line.
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

// parse parses the command line. Reports that do not exist are an error.
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

// summary is what is printed, as text or as JSON.
type summary struct {
	Days  []*benchreport.LossReport `json:"days"`
	Means []benchreport.Mean        `json:"means,omitempty"` // of several days
}

// run prints what the arguments ask for.
func run(parsed arguments, out io.Writer) error {
	all, err := read(parsed)
	if err != nil {
		return trace.Wrap(err)
	}
	if parsed.plot != "" {
		if err := benchreport.Plot(parsed.plot, all.Days); err != nil {
			return trace.Wrap(err)
		}
	}
	if parsed.json {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(all))
	}
	return trace.Wrap(all.print(out))
}

// read reads all reports and works out their losses.
func read(parsed arguments) (*summary, error) {
	all := &summary{}
	for _, path := range parsed.reports {
		report, err := benchreport.Read(path)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
		all.Days = append(all.Days, benchreport.NewLossReport(name, report, max(parsed.spans, 0)))
	}
	if len(all.Days) > 1 {
		all.Means = benchreport.MeansOf(all.Days)
	}
	return all, nil
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
