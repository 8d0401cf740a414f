package figview

const (
	// minReaders is the least number of instances that read the configuration service.
	minReaders = 3
	// membersPerReader gives the number of readers of a larger fleet.
	membersPerReader = 6
)

// Readers returns the live members that read the configuration service for the
// others. All instances that hold the same version choose the same ones.
func (v *View) Readers() []Member {
	ranked := v.Rank(Key("reader"), "")
	return ranked[:min(len(ranked), max(minReaders, len(ranked)/membersPerReader))]
}
