package intake

import (
	"testing"

	"marigoldfront.dev/core/intake"
)

// Guards against limits that do not follow from the settings of a machine.
func TestBudget(t *testing.T) {
	tests := []struct {
		name                    string
		memoryMB, descriptors   int
		heapMB, requestMB       float64
		connections, unfinished int
	}{
		{"smallest machine", 144, 3075, 92, 50.6, 1228, 614},
		{"largest machine", 536, 10_250, 386, 212.3, 4573, 2286},
		{"few descriptors", 64, 300, 32, 17.6, 150, 75},
		{"little memory", 24, 3075, 6, 3.3, 204, 102},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := NewBudget(tc.memoryMB, tc.descriptors, 4)
			want := intake.Limits{Memory: int64(tc.requestMB * (1 << 20)), Connections: tc.connections, Unfinished: tc.unfinished}
			if got.Limits != want || got.Heap != int64(tc.heapMB*(1<<20)) {
				t.Errorf("%+v, want %+v and %v MiB", got, want, tc.heapMB)
			}
		})
	}
	if got := NewBudget(64, 0, 4); got.Limits.Connections <= 0 {
		t.Errorf("%+v without the number of descriptors", got)
	}
}

// Guards against a sum of the parts that exceeds the memory: the heap, the pages of the
// program, and what all connections and backlogs may have received.
func TestBudgetIsWithinTheMemory(t *testing.T) {
	for memoryMB := 64; memoryMB <= 4096; memoryMB += 40 {
		b := NewBudget(memoryMB, 1<<20, 4)
		buffers := int64(b.Limits.Connections+4*b.Backlog) * 2 * receiveBuffer
		if sum := b.Heap + programMemory + buffers; sum > int64(memoryMB)<<20 {
			t.Errorf("%d MiB: the parts are %d bytes", memoryMB, sum)
		}
	}
}
