package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

const (
	// clockTick is the unit of times in /proc, USER_HZ on Linux.
	clockTick = 10 * time.Millisecond

	// Fields of /proc/PID/stat, counted from the one behind the command's name.
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21
)

// processorTime returns the user and system time that a process has used.
func processorTime(pid int) (time.Duration, error) {
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

// residentBytes returns the memory of a process in RAM.
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

// statFields returns the fields of /proc/PID/stat behind the command's name.
func statFields(pid int) ([][]byte, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return nil, fmt.Errorf("read the state of process %d: %w", pid, err)
	}
	_, rest, found := bytes.Cut(data, []byte(") "))
	fields := bytes.Fields(rest)
	if !found || len(fields) <= residentField {
		return nil, fmt.Errorf("read the state of process %d: unknown form", pid)
	}
	return fields, nil
}

// Idle is what a process uses while nothing happens.
type Idle struct {
	PID int
	// ResidentBytes is the process's memory in RAM at the end.
	ResidentBytes int64
	// CPUShare is the share of one core, 0 to 1.
	CPUShare float64
}

// Watch measures processes for a while without sending anything.
func Watch(pids []int, d time.Duration) ([]Idle, error) {
	before := make([]time.Duration, len(pids))
	for i, pid := range pids {
		used, err := processorTime(pid)
		if err != nil {
			return nil, err
		}
		before[i] = used
	}
	begin := time.Now()
	time.Sleep(d)
	out := make([]Idle, len(pids))
	for i, pid := range pids {
		used, err := processorTime(pid)
		if err != nil {
			return nil, err
		}
		resident, err := residentBytes(pid)
		if err != nil {
			return nil, err
		}
		out[i] = Idle{
			PID:           pid,
			ResidentBytes: resident,
			CPUShare:      float64(used-before[i]) / float64(time.Since(begin)),
		}
	}
	return out, nil
}
