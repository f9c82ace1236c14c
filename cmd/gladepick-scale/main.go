// Command gladepick-scale measures what a control group costs with thousands of hollow dispatchers on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"ivyfold/internal/network"
	"ivyfold/internal/scale"
)

func main() {
	if err := run(parse(os.Args[1:])); err != nil {
		fmt.Fprintln(os.Stderr, "gladepick-scale:", trace.UserMessage(err))
		os.Exit(1)
	}
}

// run starts the control group, measures, and ends what it started.
func run(given arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, given.limit)
	defer cancel()
	directory, remove, err := makeDirectory(given.directory)
	if err != nil {
		return err
	}
	defer remove()
	cloud, stopCloud, err := startPlatform(given)
	if err != nil {
		return err
	}
	defer stopCloud()
	group, err := scale.StartProcesses(scale.ProcessOptions{
		Program: given.program, Directory: directory, Members: given.members, Zones: given.zones, Regions: given.regions,
		CloudAddress: cloud,
	})
	if err != nil {
		return err
	}
	defer group.Stop()
	logger, err := zap.NewDevelopment(zap.WithCaller(false))
	if err != nil {
		return trace.Wrap(err)
	}
	given.options.Logger = logger
	given.options.NetworkOf = func(string) network.Network { return network.TCP{} }
	results, err := scale.Run(ctx, group, given.options)
	if len(results) == 0 {
		return err
	}
	return trace.NewAggregate(err, report(given, results))
}

// makeDirectory makes the directory of the control group. One that the command line does not name is removed at the end.
func makeDirectory(named string) (path string, remove func(), err error) {
	if named != "" {
		return named, func() {}, trace.ConvertSystemError(os.MkdirAll(named, 0o755))
	}
	path, err = os.MkdirTemp("", "gladepick-scale-")
	return path, func() { _ = os.RemoveAll(path) }, trace.ConvertSystemError(err)
}

func startPlatform(given arguments) (address string, stop func(), err error) {
	if given.workers == 0 {
		return "", func() {}, nil
	}
	platform, err := scale.StartPlatform(given.workers, given.workerInterval)
	if err != nil {
		return "", nil, err
	}
	return platform.Address(), platform.Stop, nil
}

// report writes the table to standard output, and the plots into a directory.
func report(given arguments, results []scale.Result) error {
	if err := scale.WriteTable(os.Stdout, results); err != nil {
		return err
	}
	if given.plots == "" {
		return nil
	}
	if err := os.MkdirAll(given.plots, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	for _, each := range plots {
		path := filepath.Join(given.plots, each.file)
		if err := scale.Plot(path, each.title, each.prefixes, results); err != nil {
			return err
		}
	}
	return nil
}

var plots = []struct {
	file, title string
	prefixes    []string
}{
	{"bytes.png", "Control bytes a second of a dispatcher", []string{"calm B/s", "day B/s"}},
	{"processor.png", "Processor time in % of a core", []string{"calm cpu", "day cpu", "calm members", "day members"}},
	{"memory.png", "Memory", []string{"memory kB", "largest member"}},
	{"times.png", "Times in ms", []string{"change", "storm", "declared"}},
}

// parse reads the command line. It ends the process where that is wrong.
func parse(line []string) arguments {
	var given arguments
	application := kingpin.New("gladepick-scale", "Measure a control group with hollow dispatchers on loopback.")
	application.Flag("program", "The program of the control group.").Default("target/gladepick-system").StringVar(&given.program)
	application.Flag("members", "Members of the control group.").Default("9").IntVar(&given.members)
	application.Flag("size", "A number of dispatchers, rising; repeatable.").Default("100", "300", "1000").IntsVar(&given.options.Sizes)
	application.Flag("zones", "Zones.").Default("7").IntVar(&given.zones)
	application.Flag("regions", "Regions.").Default("3").IntVar(&given.regions)
	application.Flag("routes", "Routes of the configuration.").Default("200").IntVar(&given.options.Routes)
	application.Flag("calm", "Length of the calm phase.").Default("10s").DurationVar(&given.options.Calm)
	application.Flag("day", "Length of the compressed day.").Default("30s").DurationVar(&given.options.Day)
	application.Flag("compression", "How much faster than in a day things happen.").Default("100").Float64Var(&given.options.Compression)
	application.Flag("storm", "Part of the dispatchers that restart at once.").Default("0.1").Float64Var(&given.options.StormPart)
	application.Flag("losses", "Dispatchers that are ended one by one.").Default("5").IntVar(&given.options.Losses)
	application.Flag("memory", "Part of the machine's memory that may be used.").Default("0.45").Float64Var(&given.options.MemoryPart)
	application.Flag("workers", "Workers on the platform's list; 0 for no list.").Default("0").IntVar(&given.workers)
	application.Flag("worker-interval", "Time between changes of that list; 0 for none.").Default("0s").DurationVar(&given.workerInterval)
	application.Flag("seed", "Seed of random choices.").Default("1").Uint64Var(&given.options.Seed)
	application.Flag("limit", "Time after which the run ends.").Default("10m").DurationVar(&given.limit)
	application.Flag("directory", "Directory for the members' settings, disks and logs; removed at the end without it.").StringVar(&given.directory)
	application.Flag("plots", "Directory for plots; none without it.").StringVar(&given.plots)
	kingpin.MustParse(application.Parse(line))
	given.options.Zones, given.options.Regions = given.zones, given.regions
	return given
}
