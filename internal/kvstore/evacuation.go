package kvstore

import "slices"

// Which failure domains are evacuated, as far as this host knows. The evacuationRegister
// decides it alone, from the responses of the store and of the peers.
//
//  1. A source tells the whole set as the store had it at a revision of the store. The set
//     with the highest revision counts; a late response, a peer that is behind or a failure
//     of the store change nothing.
//  2. A process starts with no knowledge, which differs from knowing that no failure domain
//     is evacuated.

// Evacuations is the set of evacuated failure domains, which get no new work, as the
// platform's store had it at a revision.
type Evacuations struct {
	// Revision is the store's revision, 0 if nothing is known.
	Revision uint64
	// FailureDomains is sorted and has no duplicates.
	FailureDomains []string
}

// NewEvacuations returns the set of the failure domains, in any order, at a revision.
func NewEvacuations(revision uint64, failureDomains []string) Evacuations {
	sorted := slices.Sorted(slices.Values(failureDomains))
	return Evacuations{Revision: revision, FailureDomains: slices.Compact(sorted)}
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuations) Contains(failureDomain string) bool {
	return slices.Contains(e.FailureDomains, failureDomain)
}

// evacuationRegister holds the evacuations with the highest revision that this host has
// met. Its zero value knows none.
type evacuationRegister struct{ current Evacuations }

// learn takes what a source tells. newer reports whether the revision is higher than the
// known one, changed whether the set differs too or is the first one.
func (r *evacuationRegister) learn(e Evacuations) (newer, changed bool) {
	if e.Revision <= r.current.Revision {
		return false, false
	}
	changed = r.current.Revision == 0 || !slices.Equal(e.FailureDomains, r.current.FailureDomains)
	r.current = e
	return true, changed
}
