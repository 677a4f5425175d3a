package retry

import "testing"

// Guards against retries that multiply the load when many attempts fail.
func TestRetriesAreBoundedByRatio(t *testing.T) {
	b := New(0.1, 5)
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		if b.Take() {
			taken++
		}
	}
	if taken < 99 || taken > 105 {
		t.Fatalf("%d retries for 1000 successful attempts, want about 100", taken)
	}
}
