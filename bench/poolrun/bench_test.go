package poolrun

import "testing"

// BenchmarkBusyDay measures the scheduler and its model under overload, for each
// start.
func BenchmarkBusyDay(b *testing.B) {
	x, found := Load("../../examples/experiments/busy-day.toml")
	if err := found.Err(); err != nil {
		b.Fatal(err)
	}
	x.Seconds = 10
	starts := 0
	for range b.N {
		starts += Run(x, x.Policies[0], 1).Starts
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
}
