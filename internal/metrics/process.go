package metrics

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// RegisterProcessMetrics registers metrics of the process's resident memory, processor time and goroutines.
func (s *Set) RegisterProcessMetrics() {
	s.GaugeFunc(Family{"process_resident_memory_bytes", "Memory of the process in RAM."}, residentBytes)
	s.CounterFunc(Family{"process_cpu_seconds_total", "User and system processor time."}, cpuSeconds)
	s.GaugeFunc(Family{"process_goroutines", "Goroutines that exist."}, func() float64 {
		return float64(runtime.NumGoroutine())
	})
}

// residentBytes returns the process's resident set size from /proc in bytes, or 0 if it is unavailable.
func residentBytes() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return float64(pages) * float64(os.Getpagesize())
}

// cpuSeconds returns the user and system processor time of the process in seconds, or 0 if it is unavailable.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
