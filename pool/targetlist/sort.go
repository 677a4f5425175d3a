package targetlist

import (
	"cmp"
	"slices"

	"marigoldfront.dev/core/scheduler"
)

// sortTargets sorts targets by their IDs.
func sortTargets(all []scheduler.Target) {
	slices.SortFunc(all, func(a, b scheduler.Target) int { return cmp.Compare(a.ID, b.ID) })
}
