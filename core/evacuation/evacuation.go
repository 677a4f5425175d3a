// Package evacuation holds the availability zones that an operator has had evacuated:
// no task starts on their targets until the operator takes the zone back.
package evacuation

import "slices"

// Set is the set of evacuated availability zones as of a revision of the store. Of two
// sets, the one with the higher revision replaces the other, from whichever instance it
// comes. Methods do not change a Set.
type Set struct {
	// Revision is the revision of the store at which the set was valid; 0 if it is
	// unknown.
	Revision int64
	// Zones holds the names of the zones, sorted and without duplicates.
	Zones []string
}

// Contains reports whether a zone is evacuated.
func (s Set) Contains(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// With returns the set with a zone added or removed.
func (s Set) With(zone string, evacuated bool) Set {
	i, found := slices.BinarySearch(s.Zones, zone)
	switch {
	case evacuated && !found:
		s.Zones = slices.Insert(slices.Clone(s.Zones), i, zone)
	case !evacuated && found:
		s.Zones = slices.Delete(slices.Clone(s.Zones), i, i+1)
	}
	return s
}

// At returns the set as of a revision of the store.
func (s Set) At(revision int64) Set {
	s.Revision = revision
	return s
}

// SameZones reports whether two sets contain the same zones.
func (s Set) SameZones(o Set) bool { return slices.Equal(s.Zones, o.Zones) }
