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

// clockTick is the unit of processor time in /proc, USER_HZ of Linux.
const clockTick = 10 * time.Millisecond

// Positions of the fields after the command's name in /proc/PID/stat.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21
)

// usage is what processes had used when a run began.
type usage struct {
	pids  []int
	began []processUsage
	self  time.Duration
}

// processUsage is what one process has used so far.
type processUsage struct {
	cpu time.Duration
	rss int64 // Bytes.
}

type usageWire struct {
	PID        int     `json:"pid"` // Zero is the load tool itself.
	CPUPerTask float64 `json:"cpu_us_per_task"`
	RSSBefore  int64   `json:"rss_before,omitempty"`
	RSSAfter   int64   `json:"rss_after,omitempty"`
}

func startUsage(pids []int) (*usage, error) {
	u := &usage{pids: pids, self: selfTime()}
	for _, pid := range pids {
		p, err := usageOf(pid)
		if err != nil {
			return nil, err
		}
		u.began = append(u.began, p)
	}
	return u, nil
}

// end returns the processor time for each task since the start. A process that
// has ended is left out.
func (u *usage) end(tasks int) []usageWire {
	perTask := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(max(tasks, 1)) }
	all := []usageWire{{CPUPerTask: perTask(selfTime() - u.self)}}
	for i, pid := range u.pids {
		now, err := usageOf(pid)
		if err != nil {
			continue
		}
		all = append(all, usageWire{
			PID:        pid,
			CPUPerTask: perTask(now.cpu - u.began[i].cpu),
			RSSBefore:  u.began[i].rss,
			RSSAfter:   now.rss,
		})
	}
	return all
}

// selfTime returns the processor time of this process.
func selfTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func usageOf(pid int) (processUsage, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return processUsage{}, fmt.Errorf("read usage: %w", err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= statRSS {
		return processUsage{}, fmt.Errorf("process %d: got %d fields, want more than %d", pid, len(fields), statRSS)
	}
	var values [3]int64
	for i, position := range []int{statUser, statSystem, statRSS} {
		if values[i], err = strconv.ParseInt(fields[position], 10, 64); err != nil {
			return processUsage{}, fmt.Errorf("process %d: %w", pid, err)
		}
	}
	return processUsage{
		cpu: time.Duration(values[0]+values[1]) * clockTick,
		rss: values[2] * int64(os.Getpagesize()),
	}, nil
}
