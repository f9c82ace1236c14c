// Command rig plays one case of the review: it starts a small deployment as separate processes with the commands of the
// deploy file, and plays its clients, workers and platform. It exits with 1 if the rule was broken, with 0 if it held,
// and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the time after which a script is given up.
const longest = 115 * time.Second

// scenario plays a case and reports whether the rule was broken.
type scenario func(c *cluster, trouble bool) (broken bool, err error)

var scenarios = map[string]struct {
	fronts, stores int
	play           scenario
}{
	"repeat": {4, 4, playRepeat},
	"lost":   {4, 4, playLost},
	"halted": {4, 4, playHalted},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(playScenario(os.Args[1], os.Args[2]))
}

func playScenario(name, folder string) int {
	chosen, found := scenarios[name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	c, err := newCluster(record, chosen.fronts, chosen.stores)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- judge(c, chosen.play) }()
	code := exitNotRun
	select {
	case code = <-result:
	case <-interrupted:
		record.note("interrupted")
	case <-time.After(longest):
		record.note("given up: the script took too long")
	}
	c.stop()
	return code
}

func judge(c *cluster, play scenario) int {
	trouble := os.Getenv("TROUBLE") != "0"
	c.record.note("trouble: %v", trouble)
	broken, err := play(c, trouble)
	switch {
	case err != nil:
		c.record.note("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		c.record.note("the rule was broken")
		return exitBroken
	}
	c.record.note("the rule held")
	return exitHeld
}
