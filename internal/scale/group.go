package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	memberInternalPort = 7240
	memberControlPort  = 8046
	seedCount          = 3
	stopPatience       = 8 * time.Second // from SIGTERM to SIGKILL
	memberMemoryMB     = 512
	memberDiskMB       = 64
	maxFDs             = 16_384
)

// Group is a control group beside the hollow dispatchers.
type Group interface {
	Entry() Entry
	// Usage is what the members have used so far.
	Usage() (Usage, error)
}

// ProcessGroup is a control group of real processes on loopback addresses.
type ProcessGroup struct {
	members []*exec.Cmd
	entry   Entry
	logs    []*os.File
}

// ProcessOptions say how a ProcessGroup is started.
type ProcessOptions struct {
	Program      string // the program gladepick-system
	Directory    string // for settings, disks and logs
	Members      int
	Zones        int
	Regions      int
	CloudAddress string // of the list of workers; may be empty
}

// StartProcesses starts a control group. Stop ends it.
func StartProcesses(options ProcessOptions) (*ProcessGroup, error) {
	group := &ProcessGroup{entry: Entry{InternalPort: memberInternalPort}}
	for number := range min(seedCount, options.Members) {
		group.entry.Seeds = append(group.entry.Seeds, fmt.Sprintf("%s:%d", memberIP(number), memberControlPort))
	}
	for number := range options.Members {
		if err := group.start(options, number); err != nil {
			group.Stop()
			return nil, trace.Wrap(err)
		}
	}
	return group, nil
}

func (g *ProcessGroup) start(options ProcessOptions, number int) error {
	directory := filepath.Join(options.Directory, memberName(number))
	if err := os.MkdirAll(filepath.Join(directory, "disk"), 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	path := filepath.Join(directory, "node.toml")
	if err := os.WriteFile(path, []byte(memberSettings(options, g.entry, directory, number)), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	log, err := os.Create(filepath.Join(directory, "log"))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	g.logs = append(g.logs, log)
	command := exec.Command(options.Program, "--settings", path, "front")
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		return trace.Wrap(err, "starting %s", options.Program)
	}
	g.members = append(g.members, command)
	return nil
}

func memberName(number int) string { return fmt.Sprintf("control-%d", number) }

func memberIP(number int) string { return fmt.Sprintf("127.15.1.%d", number+1) }

// memberSettings is the settings file of a member.
func memberSettings(options ProcessOptions, entry Entry, directory string, number int) string {
	zone := number % options.Zones
	ip := memberIP(number)
	quoted := make([]string, len(entry.Seeds))
	for i, seed := range entry.Seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	return fmt.Sprintf(`node = %q
role = "front"
class = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "region-%d"
internal-ports = [%d, %d]
seeds = [%s]
bootstrap = true
counts-for-quorum = true
data-dir = %q

[listen-addrs]
front = "%s:8045"
ready = "%s:8047"
control = "%s:%d"

[limits]
cpu-share = 1.0
cores = 1
memory-mb = %d
max-fds = %d
disk-mb = %d

[fault-tolerance]
machines = 1

[cloud]
address = %q
`, memberName(number), ip, zoneName(zone), zone%options.Regions, memberInternalPort, memberInternalPort+9,
		strings.Join(quoted, ", "), filepath.Join(directory, "disk"), ip, ip, ip, memberControlPort,
		memberMemoryMB, maxFDs, memberDiskMB, options.CloudAddress)
}

// Entry implements Group.
func (g *ProcessGroup) Entry() Entry { return g.entry }

// Usage implements Group.
func (g *ProcessGroup) Usage() (Usage, error) {
	var sum Usage
	for _, member := range g.members {
		usage, err := usageOf(member.Process.Pid)
		if err != nil {
			return Usage{}, trace.Wrap(err)
		}
		sum.add(usage)
	}
	return sum, nil
}

// Stop ends the processes, by SIGTERM and then by SIGKILL.
func (g *ProcessGroup) Stop() {
	for _, member := range g.members {
		_ = member.Process.Signal(syscall.SIGTERM)
	}
	for _, member := range g.members {
		kill := time.AfterFunc(stopPatience, func() { _ = member.Process.Kill() })
		_ = member.Wait()
		kill.Stop()
	}
	for _, log := range g.logs {
		_ = log.Close()
	}
	g.members, g.logs = nil, nil
}
