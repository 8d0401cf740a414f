//go:build race

package figsend

// raceEnabled says whether the tests run with the race detector.
const raceEnabled = true
