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

// Sample is the resource usage of a process at one time.
type Sample struct {
	At time.Time
	// CPU is the processor time that the process has used since its start.
	CPU time.Duration
	// ResidentBytes is the size of the resident memory.
	ResidentBytes int64
	// IOBytes is the number of bytes that the process read and wrote since its
	// start. For a process that uses no files this is its network traffic,
	// without the headers of TCP and IP.
	IOBytes int64
}

// Read returns a sample of the process pid. It returns an error if the process
// does not exist or a value is missing in /proc.
func Read(pid int) (Sample, error) {
	s := Sample{At: time.Now()}
	var err error
	if s.CPU, err = readCPU(pid); err != nil {
		return s, err
	}
	kb, err := sumFields(pid, "status", "VmRSS:")
	if err != nil {
		return s, err
	}
	s.ResidentBytes = kb << 10
	s.IOBytes, err = sumFields(pid, "io", "rchar:", "wchar:")
	return s, err
}

// readCPU returns the total processor time of all threads. It reads schedstat,
// which counts nanoseconds, because /proc/PID/stat counts in steps of 10 ms,
// which is too coarse for an idle process. Threads that have ended are missing
// from the total, but the Go runtime keeps its threads.
func readCPU(pid int) (time.Duration, error) {
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
		return 0, fmt.Errorf("procstat: no processor time in /proc/%d/task/*/schedstat", pid)
	}
	return total, nil
}

// sumFields returns the sum of the first values of the lines with the given
// names. It returns an error if a name is missing.
func sumFields(pid int, file string, names ...string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	var total int64
	found := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || !slices.Contains(names, fields[0]) {
			continue
		}
		n, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return 0, err
		}
		total += n
		found++
	}
	if found != len(names) {
		return 0, fmt.Errorf("procstat: /proc/%d/%s does not contain all of %v", pid, file, names)
	}
	return total, nil
}
