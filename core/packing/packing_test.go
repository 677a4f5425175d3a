package packing

import "testing"

// newModel returns a Model that has learned tasks of the sizes in equal shares.
func newModel(sizes ...int64) *Model {
	m := &Model{}
	for range minSamples {
		for _, s := range sizes {
			m.Observe(s)
		}
	}
	return m
}

// Guards against a large task that takes a target on which it leaves a rest that
// nothing fits, while another target would keep a useful one.
func TestLossPrefersUsefulRests(t *testing.T) {
	m := newModel(7_000, 8_000, 9_000)
	for _, tc := range []struct {
		name                  string
		better, worse         int64 // free capacity
		betterTask, worseTask int64
	}{
		{"a large task on a large target", 24_000, 16_000, 10_000, 10_000},
		{"two tasks that fill a target", 16_000, 16_000, 8_000, 10_000},
		{"an exact rest", 9_000, 15_000, 9_000, 9_000},
	} {
		if b, w := m.Loss(tc.better, tc.betterTask), m.Loss(tc.worse, tc.worseTask); b >= w {
			t.Errorf("%s: the loss of %.2f is not below %.2f", tc.name, b, w)
		}
	}
	if l := m.Loss(16_000, 10_000); l < 0.5 {
		t.Errorf("a rest of 6 cores that fits no task counts as a loss of %.2f of a task", l)
	}
}

// Guards against losses that are computed from too few tasks, or from sizes that no
// task has any more.
func TestSizesAreLearned(t *testing.T) {
	m := &Model{}
	m.Observe(8_000)
	if l := m.Loss(16_000, 10_000); l != 0 {
		t.Errorf("the loss is %.2f after one task", l)
	}
	m = newModel(8_000)
	before := m.Loss(16_000, 10_000)
	for range 20 * maxSamples {
		m.Observe(6_000)
	}
	if after := m.Loss(16_000, 10_000); before < 0.6 || after > 0.1 {
		t.Errorf("a rest of 6 cores is a loss of %.2f with tasks of 8 cores and %.2f with tasks of 6", before, after)
	}
}

// Guards against a target larger than the table that is preferred or avoided for its
// size.
func TestLargeCapacityIsUsable(t *testing.T) {
	m := newModel(7_000, 8_000, 9_000)
	const large = 4 * maxCells * cellSize
	if l := m.Loss(large, 8_000); l < -0.01 || l > 0.01 {
		t.Errorf("a task on a large idle target is a loss of %.3f", l)
	}
	m.Observe(large)
	if l := m.Loss(large, large); l < -100 || l > 100 {
		t.Errorf("a task as large as the target is a loss of %.1f", l)
	}
}
