package rehearser

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of CPU time in /proc/PID/stat: 1/USER_HZ of Linux.
const clockTick = 10 * time.Millisecond

// Positions of fields in /proc/PID/stat, counted from the one after the command's
// name.
const (
	statUserTime   = 11
	statSystemTime = 12
	statRSS        = 21
)

// usageMeter measures the resource usage of processes during a run.
type usageMeter struct {
	pids   []int
	start  []processUsage
	ownCPU time.Duration // CPU time of this process at the start.
}

// processUsage is the resource usage of a process since its start.
type processUsage struct {
	cpu time.Duration
	rss int64 // Resident set size in bytes.
}

type usageWire struct {
	PID        int     `json:"pid"` // Zero stands for the load generator itself.
	CPUPerTask float64 `json:"cpu_us_per_task"`
	RSSBefore  int64   `json:"rss_before,omitempty"`
	RSSAfter   int64   `json:"rss_after,omitempty"`
}

// startUsageMeter reads the usage of the processes at the start of a run.
func startUsageMeter(pids []int) (*usageMeter, error) {
	u := &usageMeter{pids: pids, ownCPU: ownCPUTime()}
	for _, pid := range pids {
		p, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		u.start = append(u.start, p)
	}
	return u, nil
}

// report returns the CPU time per task since the start, and the memory use before
// and after. Processes that have ended are omitted.
func (u *usageMeter) report(tasks int) []usageWire {
	perTask := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(tasks, 1)) }
	usages := []usageWire{{CPUPerTask: perTask(ownCPUTime() - u.ownCPU)}}
	for i, pid := range u.pids {
		now, err := readUsage(pid)
		if err != nil {
			continue
		}
		usages = append(usages, usageWire{
			PID:        pid,
			CPUPerTask: perTask(now.cpu - u.start[i].cpu),
			RSSBefore:  u.start[i].rss,
			RSSAfter:   now.rss,
		})
	}
	return usages
}

// ownCPUTime returns the CPU time of this process.
func ownCPUTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (processUsage, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return processUsage{}, fmt.Errorf("read usage: %w", err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= statRSS {
		return processUsage{}, fmt.Errorf("process %d: got %d fields, want more than %d", pid, len(fields), statRSS)
	}
	var values [3]int64
	for i, position := range []int{statUserTime, statSystemTime, statRSS} {
		if values[i], err = strconv.ParseInt(fields[position], 10, 64); err != nil {
			return processUsage{}, fmt.Errorf("process %d: %w", pid, err)
		}
	}
	return processUsage{
		cpu: time.Duration(values[0]+values[1]) * clockTick,
		rss: values[2] * int64(os.Getpagesize()),
	}, nil
}
