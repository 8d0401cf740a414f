//go:build race

package figstore_test

// raceDetector says that the tests run under the race detector.
const raceDetector = true
