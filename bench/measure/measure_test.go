package measure

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"marigoldfront.dev/bench/fleet"
	"marigoldfront.dev/bench/load"
)

// Guards against two policies that are compared with different jobs, and against
// an offered load that differs from the stated share of the targets' capacity.
func TestDrawIsRepeatable(t *testing.T) {
	draw := func() ([]fleet.TargetSpec, []load.Job) {
		rng := rand.New(rand.NewPCG(7, 1))
		specs := drawTargets(rng, 12, wideSpeedRatio)
		return specs, scenario{load: 0.5}.draw(rng, capacity(slotSpeeds(specs)), 50*time.Second)
	}
	specs, jobs := draw()
	_, again := draw()
	if len(jobs) != len(again) || jobs[10].RunTimes[0] != again[10].RunTimes[0] {
		t.Error("two draws of one seed differ")
	}
	slowest, fastest := math.Inf(1), 0.0
	for _, s := range specs {
		slowest, fastest = min(slowest, s.Speed), max(fastest, s.Speed)
	}
	if ratio := fastest / slowest; math.Abs(ratio-wideSpeedRatio) > 0.01 {
		t.Errorf("speeds differ by a factor of %v, want %v", ratio, wideSpeedRatio)
	}
	var work time.Duration
	for _, j := range jobs {
		for _, r := range j.RunTimes {
			work += r
		}
	}
	totalSpeed := capacity(slotSpeeds(specs)) * meanRunTime.Seconds()
	if share := work.Seconds() / 50 / totalSpeed; share < 0.45 || share > 0.55 {
		t.Errorf("offered load is %.3f, want 0.5", share)
	}
}

// Guards against a row that includes the jobs of the flooding caller or of
// incomplete jobs in its percentiles, and against reports that cannot be
// written.
func TestRowAndReport(t *testing.T) {
	job := &load.Job{RunTimes: []time.Duration{100 * time.Millisecond}}
	floodJob := &load.Job{Caller: floodingCaller, RunTimes: job.RunTimes}
	outcomes := []load.Outcome{
		{Job: job, State: load.Complete, Latency: 200 * time.Millisecond},
		{Job: job, State: load.NotRun, Latency: time.Millisecond},
		{Job: floodJob, State: load.Complete, Latency: time.Hour},
	}
	var rows []Row
	for _, p := range policies {
		rows = append(rows, newRow(scenarios[1], p, 1, outcomes, []float64{1}))
	}
	r := rows[0]
	if r.Jobs != 2 || r.NotRun != 1 || r.Goodput != 0.5 || math.Abs(r.P99-2) > 0.01 {
		t.Errorf("row is %+v, want 2 jobs, half of them complete with slowdown 2", r)
	}
	dir := t.TempDir()
	if err := writeCSV(filepath.Join(dir, "m.csv"), rows); err != nil {
		t.Error(err)
	}
	if err := plotSlowdown(filepath.Join(dir, "m.png"), rows); err != nil {
		t.Error(err)
	}
	if s, err := os.Stat(filepath.Join(dir, "m.png")); err != nil || s.Size() == 0 {
		t.Errorf("no plot was written: %v", err)
	}
}
