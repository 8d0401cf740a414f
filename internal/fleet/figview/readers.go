package figview

const (
	// minReaders is the minimum number of instances that read the configuration service.
	minReaders = 3
	// membersPerReader is the number of live members per reader in a larger fleet.
	membersPerReader = 6
)

// Readers returns the live members that read the configuration service and pass its values on to
// the other instances. All instances that hold the same version choose the same readers.
func (v *View) Readers() []Member {
	ranked := v.Rank(Key("reader"), "")
	return ranked[:min(len(ranked), max(minReaders, len(ranked)/membersPerReader))]
}
