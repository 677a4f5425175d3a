// Package procstat reads the memory and processor use of a process from /proc.
package procstat

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Sample is the use of one process at one moment.
type Sample struct {
	At time.Time
	// CPU is the processor time since the start of the process.
	CPU time.Duration
	// ResidentBytes is the resident memory.
	ResidentBytes int64
	// IOBytes is the number of bytes that the process read and wrote since its
	// start. For a process that uses no files these are its messages, without
	// the headers of TCP and IP.
	IOBytes int64
}

// Read samples the process pid.
func Read(pid int) (Sample, error) {
	s := Sample{At: time.Now()}
	var err error
	if s.CPU, err = cpu(pid); err != nil {
		return s, err
	}
	kb, err := sum(pid, "status", "VmRSS:")
	if err != nil {
		return s, err
	}
	s.ResidentBytes = kb << 10
	s.IOBytes, err = sum(pid, "io", "rchar:", "wchar:")
	return s, err
}

// cpu adds up the processor time of all threads, in nanoseconds. The times in
// /proc/PID/stat are counted in steps of 10 ms, too coarse for an idle
// process. Threads that have ended are missing; the Go runtime keeps its
// threads.
func cpu(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil {
		return 0, err
	}
	var total time.Duration
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return 0, err
		}
		n, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(n)
	}
	if total == 0 {
		return 0, fmt.Errorf("procstat: process %d has no times of threads", pid)
	}
	return total, nil
}

// sum adds up the first number of the lines with the given names.
func sum(pid int, file string, names ...string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	var total int64
	found := 0
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 || !slices.Contains(names, f[0]) {
			continue
		}
		n, err := strconv.ParseInt(f[1], 10, 64)
		if err != nil {
			return 0, err
		}
		total += n
		found++
	}
	if found != len(names) {
		return 0, fmt.Errorf("procstat: /proc/%d/%s lacks one of %v", pid, file, names)
	}
	return total, nil
}
