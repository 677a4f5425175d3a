package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in the order of their rendezvous hashes for the key,
// highest first. All instances compute the same order for the same names.
// Adding or removing a name does not change the relative order of the others.
func Rank(names []string, key string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, n := range names {
		all = append(all, scored{name: n, score: score(n, key)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ranked := make([]string, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, s.name)
	}
	return ranked
}

func score(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to an xxhash.Digest do not fail.
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}
