package scrape

import (
	"strings"
	"testing"
)

// Guards against sums that include series of another metric or with another
// label value.
func TestSum(t *testing.T) {
	v, err := parse(strings.NewReader("# TYPE a counter\na{x=\"1\"} 2\na{x=\"2\"} 3\nab 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	if v.Sum("a") != 5 || v.Sum("a", `x="2"`) != 3 || v.Sum("ab") != 7 {
		t.Errorf("sums of %v are wrong", v)
	}
}
