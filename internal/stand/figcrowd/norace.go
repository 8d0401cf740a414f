//go:build !race

package figcrowd

// RaceEnabled says that the program has the race detector, which takes several times the memory.
const RaceEnabled = false
