// Package revision orders the revisions of a store that may be restored from a backup and then
// issue the same revision numbers again. Each restore begins a new era. A Revision of a later
// era is greater than all Revisions of earlier eras: the store's revision 55 in era 2 is
// 2,000,000,000,055. The package performs no I/O.
package revision

// revisionsPerEra bounds the store's revision numbers within an era.
const revisionsPerEra = 1_000_000_000_000

// New returns the Revision for the store's revision number in an era.
func New(era, number uint64) uint64 { return era*revisionsPerEra + number }

// Era returns the era of a Revision.
func Era(revision uint64) uint64 { return revision / revisionsPerEra }

// Number returns the store's own revision number of a Revision.
func Number(revision uint64) uint64 { return revision % revisionsPerEra }
