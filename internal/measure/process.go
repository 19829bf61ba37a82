package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// clockTick is the unit of times in /proc, 1/USER_HZ on Linux.
	clockTick = 10 * time.Millisecond

	// Field indexes of /proc/PID/stat, counted from 0 at the field after the command name.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21
)

// cpuTime returns the CPU time that a process has used, in user and system mode together.
func cpuTime(pid int) (time.Duration, error) {
	fields, err := statFields(pid)
	if err != nil {
		return 0, err
	}
	user, err := strconv.ParseInt(string(fields[userTimeField]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read the user time of process %d: %w", pid, err)
	}
	system, err := strconv.ParseInt(string(fields[systemTimeField]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read the system time of process %d: %w", pid, err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// residentBytes returns the resident set size of a process in bytes.
func residentBytes(pid int) (int64, error) {
	fields, err := statFields(pid)
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(string(fields[residentField]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read the resident set of process %d: %w", pid, err)
	}
	return pages * int64(os.Getpagesize()), nil
}

// statFields returns the fields of /proc/PID/stat after the command name.
func statFields(pid int) ([][]byte, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, fmt.Errorf("read the state of process %d: %w", pid, err)
	}
	_, rest, found := bytes.Cut(data, []byte(") "))
	fields := bytes.Fields(rest)
	if !found || len(fields) <= residentField {
		return nil, fmt.Errorf("read the state of process %d: unexpected format of /proc/PID/stat", pid)
	}
	return fields, nil
}

// IdleUsage is the resource usage of an idle process.
type IdleUsage struct {
	PID int
	// ResidentBytes is the resident set size at the end of the measurement.
	ResidentBytes int64
	// CPUShare is the CPU time used, as a fraction of the elapsed time: 1 is one full core.
	CPUShare float64
}

// MeasureIdle measures the resource usage of processes for d, without sending traffic to them.
func MeasureIdle(pids []int, d time.Duration) ([]IdleUsage, error) {
	before := make([]time.Duration, len(pids))
	for i, pid := range pids {
		used, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		before[i] = used
	}
	begin := time.Now()
	time.Sleep(d)
	out := make([]IdleUsage, len(pids))
	for i, pid := range pids {
		used, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		resident, err := residentBytes(pid)
		if err != nil {
			return nil, err
		}
		out[i] = IdleUsage{
			PID:           pid,
			ResidentBytes: resident,
			CPUShare:      float64(used-before[i]) / float64(time.Since(begin)),
		}
	}
	return out, nil
}
