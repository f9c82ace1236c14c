// Command gladepick-soak plays troubles on small deployments of real processes on loopback addresses, and judges what clients
// and workers saw. It exits with 0 if all rules held, with 1 if a rule was broken, and with 2 if a plan could not be played.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

const programName = "gladepick-soak"

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// arguments holds the parsed command line.
type arguments struct {
	program  string
	folder   string
	plan     string
	seed     uint64
	count    int
	parallel int
	shrink   int
}

func main() {
	parsed, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
		os.Exit(exitNotRun)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code, err := run(ctx, parsed, os.Stdout)
	cancel()
	if err != nil {
		fmt.Fprintln(os.Stderr, programName+":", trace.UserMessage(err))
	}
	os.Exit(code)
}

// parse parses the command line.
func parse(args []string) (arguments, error) {
	var parsed arguments
	application := kingpin.New(programName, "Plays troubles on small deployments of real processes, and judges what clients and workers saw.")
	application.Flag("program", "Path of gladepick-system.").Default("target/gladepick-system").StringVar(&parsed.program)
	application.Flag("folder", "Where records, logs and disks are kept; a temporary folder by default.").StringVar(&parsed.folder)
	application.Flag("plan", "Plays this plan, a JSON file, in place of drawn ones.").StringVar(&parsed.plan)
	application.Flag("seed", "Seed of the first plan.").Default("1").Uint64Var(&parsed.seed)
	application.Flag("count", "Number of plans, with seeds that follow each other.").Default("1").IntVar(&parsed.count)
	application.Flag("parallel", "Plans that are played at the same time.").Default("1").IntVar(&parsed.parallel)
	application.Flag("shrink", "After a broken rule, at most this many plays to look for a smaller plan.").Default("0").IntVar(&parsed.shrink)
	if _, err := application.Parse(args); err != nil {
		return arguments{}, trace.BadParameter("%v", err)
	}
	if parsed.count < 1 || parsed.parallel < 1 || parsed.parallel > maxParallel {
		return arguments{}, trace.BadParameter("--count is at least 1, --parallel is from 1 to %d", maxParallel)
	}
	return parsed, nil
}
