package integration

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marigoldfront.dev/entry/run"
)

const (
	benchTargets  = 8
	benchSlots    = 32
	benchSessions = 16
	benchTasks    = 50
	// ticksPerSecond is the number of clock ticks per second in /proc.
	ticksPerSecond = 100
)

// BenchmarkStarts measures the CPU time that one entry instance uses per start,
// over the loopback interface, with jobs of 50 tasks that take no time. One
// operation is a job. If MARIGOLD_CPU_PROFILE is set, the instance writes a CPU
// profile to that file.
func BenchmarkStarts(b *testing.B) {
	c := newCluster(b)
	for i := range benchTargets {
		c.startTarget(fmt.Sprintf("t%d", i), benchSlots)
	}
	c.acceptTicket()
	e := c.startEntry("e1", func(s *run.Settings) { s.DrainLimitS = 10 })
	c.waitConverged(e)
	var next atomic.Int64
	var wg sync.WaitGroup
	j := newJob(benchTasks, 0, 10*time.Second)
	j.Repeatable = true
	before := cpuTime(b, e.process)
	b.ResetTimer()
	for range benchSessions {
		s := e.openSession()
		wg.Go(func() {
			for seq := 1; next.Add(1) <= int64(b.N); seq++ {
				if a := e.submit(s, seq, j); a.State != "complete" {
					b.Errorf("answer: %+v", a)
					return
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	used := cpuTime(b, e.process) - before
	starts := float64(b.N * benchTasks)
	b.ReportMetric(used.Seconds()*1e6/starts, "cpu-µs/start")
	b.ReportMetric(starts/used.Seconds(), "starts/s/core")
	b.ReportMetric(starts/b.Elapsed().Seconds(), "starts/s")
	e.signal(syscall.SIGTERM)
	e.waitExit(20 * time.Second)
}

// cpuTime returns the user and system time that a process has used.
func cpuTime(t testing.TB, p *process) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+2:])
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(string(f))
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
