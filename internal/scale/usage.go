package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Usage is what processes have used.
type Usage struct {
	Processor time.Duration // user and system time
	Memory    int64         // resident bytes
	Busiest   time.Duration // processor time of the process that used most
	Largest   int64         // resident bytes of the process that holds most
}

func (u *Usage) add(other Usage) {
	u.Processor += other.Processor
	u.Memory += other.Memory
	u.Busiest = max(u.Busiest, other.Processor)
	u.Largest = max(u.Largest, other.Memory)
}

const (
	clockTick       = time.Second / 100 // of the times in /proc, on all Linux platforms that Go knows
	fieldUserTime   = 11                // in /proc/PID/stat, counted behind the program's name
	fieldSystemTime = 12
	fieldResident   = 1 // in /proc/PID/statm
)

// usageOf reads what a process has used from /proc.
func usageOf(process int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	_, behind, _ := bytes.Cut(stat[bytes.LastIndexByte(stat, ')')+1:], []byte(" "))
	fields := strings.Fields(string(behind))
	ticks := numberAt(fields, fieldUserTime) + numberAt(fields, fieldSystemTime)
	memory, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	pages := numberAt(strings.Fields(string(memory)), fieldResident)
	used := Usage{Processor: time.Duration(ticks) * clockTick, Memory: pages * int64(os.Getpagesize())}
	used.Busiest, used.Largest = used.Processor, used.Memory
	return used, nil
}

func numberAt(fields []string, position int) int64 {
	if position >= len(fields) {
		return 0
	}
	number, err := strconv.ParseInt(fields[position], 10, 64)
	if err != nil {
		return 0
	}
	return number
}

// ownUsage is what this process has used.
func ownUsage() (Usage, error) { return usageOf(os.Getpid()) }

// machineMemory is how many bytes of memory the machine has.
func machineMemory() (int64, error) {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	return int64(info.Totalram) * int64(info.Unit), nil
}
