// Package packing estimates how much of a target's free capacity tasks of the usual
// sizes can use. Tasks that need more than half of a target leave a rest there that
// fits few others, so that a choice by free capacity alone fragments the targets.
package packing

import (
	"cmp"
	"math"
	"slices"
)

const (
	// cellSize is the resolution of sizes, in thousandths of a core.
	cellSize = 500
	// maxCells bounds the capacities for which the usable part is computed. More
	// capacity than that counts as usable.
	maxCells = 256
	// minSamples is the number of tasks before which all capacity counts as usable.
	minSamples = 20
	// maxSamples is the number of tasks at which all weights are halved, so that the
	// sizes follow the load.
	maxSamples = 2000
	// refreshEvery is the number of tasks after which the usable parts are computed
	// anew.
	refreshEvery = 200
	// alternatives is the number of waiting tasks among which the one that fills a rest
	// best is assumed to be found.
	alternatives = 4
)

// Model learns the sizes of tasks. The zero value has learned none. A Model is not safe
// for concurrent use.
type Model struct {
	// weights holds the number of tasks by size in cells, rounded up.
	weights    []float64
	samples    float64
	sum        float64 // of the sizes, in thousandths of a core
	unused     int     // tasks since usable was last cleared
	usable     []float64
	candidates []candidate
}

// candidate is a size of the first task in a free capacity.
type candidate struct{ filled, share float64 }

// Observe records the size of a task, in thousandths of a core.
func (m *Model) Observe(cpu int64) {
	cell := int((max(cpu, 1) + cellSize - 1) / cellSize)
	if cell > maxCells {
		return
	}
	for len(m.weights) <= cell {
		m.weights = append(m.weights, 0)
	}
	m.weights[cell]++
	m.samples++
	m.sum += float64(cpu)
	if m.samples > maxSamples {
		for i := range m.weights {
			m.weights[i] /= 2
		}
		m.samples /= 2
		m.sum /= 2
	}
	if m.unused++; m.unused >= refreshEvery {
		m.unused, m.usable = 0, nil
	}
}

// Loss returns the capacity that becomes unusable when a task of the size cpu starts
// in the free capacity, as a multiple of the mean size of a task. It is negative if
// what is left is of more use than most rests are. The arguments are in thousandths of
// a core.
func (m *Model) Loss(free, cpu int64) float64 {
	if m.samples < minSamples {
		return 0
	}
	return (m.usableOf(free) - float64(cpu) - m.usableOf(free-cpu)) / (m.sum / m.samples)
}

// usableOf returns the expected usable part of a free capacity, in thousandths of a
// core.
func (m *Model) usableOf(free int64) float64 {
	cells := int(max(free, 0) / cellSize)
	if cells > maxCells {
		return m.usableOf(maxCells*cellSize) + float64(free-maxCells*cellSize)
	}
	for len(m.usable) <= cells {
		m.usable = append(m.usable, m.fill(len(m.usable)))
	}
	return m.usable[cells] * cellSize
}

// fill returns the expected number of cells that are filled of a free capacity, if
// the first task is the one of several that fills it best, together with those after
// it. The usable parts of smaller capacities must be known.
func (m *Model) fill(cells int) float64 {
	m.candidates = m.candidates[:0]
	for size := 1; size < len(m.weights) && size <= cells; size++ {
		if w := m.weights[size]; w > 0 {
			m.candidates = append(m.candidates, candidate{filled: float64(size) + m.usable[cells-size], share: w / m.samples})
		}
	}
	slices.SortFunc(m.candidates, func(a, b candidate) int { return cmp.Compare(b.filled, a.filled) })
	expected, others := 0.0, 1.0
	for _, c := range m.candidates {
		rest := max(0, others-c.share)
		expected += c.filled * (math.Pow(others, alternatives) - math.Pow(rest, alternatives))
		others = rest
	}
	return expected
}
