package poolrun

import "testing"

// BenchmarkBusyDay measures the processor time per start that the scheduler and
// the simulation take together under overload.
func BenchmarkBusyDay(b *testing.B) {
	exp, found := Load("../../examples/experiments/busy-day.toml")
	if err := found.Err(); err != nil {
		b.Fatal(err)
	}
	exp.Seconds = 10
	starts := 0
	for range b.N {
		starts += Run(exp, exp.Policies[0], 1).Starts
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(starts), "us/start")
}
