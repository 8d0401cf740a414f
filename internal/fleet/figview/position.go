package figview

// Position is a place in the history of a source. The epoch rises when the source loses changes that it had
// acknowledged, as when it is restored from an older copy. Revisions rise within an epoch, and the next epoch assigns
// some of them again.
type Position struct {
	// Epoch is 0 if unknown.
	Epoch, Revision uint64
}

// Before says whether p is earlier than o.
func (p Position) Before(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Revision < o.Revision
}
