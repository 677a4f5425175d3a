package procstat

import (
	"os"
	"testing"
	"time"
)

// Guards against reading the wrong fields of /proc, which would falsify the
// processor and memory usage that the benchmarks report.
func TestReadMeasuresThisProcess(t *testing.T) {
	before, err := Read(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	for n, end := 0, time.Now().Add(200*time.Millisecond); time.Now().Before(end); n++ {
		_ = n * n
	}
	after, err := Read(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if used := after.CPU - before.CPU; used <= 0 || used > 10*time.Second {
		t.Errorf("200 ms of work used %v of processor time", used)
	}
	if after.ResidentBytes < 1<<20 || after.ResidentBytes > 1<<40 {
		t.Errorf("resident memory is %d bytes", after.ResidentBytes)
	}
}
