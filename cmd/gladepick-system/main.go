// Command gladepick-system runs the processes of the ingest and dispatch service.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ivyfold/internal/journal"
	"ivyfold/internal/network"
	"ivyfold/internal/settings"
	"ivyfold/internal/systemnode"
)

// process is a front or a store.
type process interface {
	Run(ctx context.Context) error
}

func main() {
	application := kingpin.New("gladepick-system", "Ingest and dispatch service.")
	path := application.Flag("settings", "Settings file of the process.").Default(settings.Path()).String()
	verbose := application.Flag("verbose", "Log details too.").Bool()
	front := application.Command("front", "Run a front: clients' side and, with a disk, a control member.")
	store := application.Command("store", "Run a store: keeps messages and delivers them.")
	var err error
	switch kingpin.MustParse(application.Parse(os.Args[1:])) {
	case front.FullCommand():
		err = run(*path, *verbose, func(o systemnode.Options) (process, error) { return systemnode.NewFront(o) })
	case store.FullCommand():
		err = run(*path, *verbose, func(o systemnode.Options) (process, error) { return systemnode.NewStore(o) })
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "gladepick-system:", err)
		os.Exit(1)
	}
}

// run runs a process until SIGTERM or SIGINT.
func run(path string, verbose bool, make func(systemnode.Options) (process, error)) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	read, err := settings.Load(path)
	if err != nil {
		return err
	}
	logger, err := newLogger(read.Node, verbose)
	if err != nil {
		return err
	}
	defer logger.Sync()
	options := systemnode.Options{
		Settings: read,
		Network:  network.TCP{},
		Logger:   logger,
		Seed:     uint64(time.Now().UnixNano()),
	}
	if read.DataDir != "" {
		if options.FS, err = journal.Directory(read.DataDir); err != nil {
			return err
		}
	}
	started, err := make(options)
	if err != nil {
		return err
	}
	return started.Run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(node string, verbose bool) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = zapcore.OmitKey
	if verbose {
		config.Level.SetLevel(zap.DebugLevel)
	}
	logger, err := config.Build()
	if err != nil {
		return nil, err
	}
	return logger.With(zap.String("node", node)), nil
}
