package evacuation

import (
	"fmt"
	"testing"
)

// Example shows a set that changes with the keys of the store.
func Example() {
	s := Set{}.With("kumasi", true).With("accra", true).At(17)
	fmt.Println(s.Revision, s.Zones, s.Contains("accra"), s.Contains("takoradi"))
	fmt.Println(s.With("accra", false).Zones)
	// Output:
	// 17 [accra kumasi] true false
	// [kumasi]
}

// Guards against a set that changes while another goroutine uses it, and against zones
// that are listed twice, because a key was written again.
func TestWithDoesNotChangeTheSet(t *testing.T) {
	s := Set{}.With("a", true).With("c", true)
	if next := s.With("b", true).With("b", true); len(next.Zones) != 3 || len(s.Zones) != 2 || s.Contains("b") {
		t.Errorf("after adding b, the sets are %v and %v", next.Zones, s.Zones)
	}
	if next := s.With("a", false).With("a", false); len(next.Zones) != 1 || !s.Contains("a") {
		t.Errorf("after removing a, the sets are %v and %v", next.Zones, s.Zones)
	}
}
