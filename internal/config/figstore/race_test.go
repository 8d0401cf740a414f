//go:build race

package figstore_test

// largestFleet is the size of the largest fleet that the tests run: the goroutines
// of larger ones end the race detector itself, by a check or a fault of its own.
const largestFleet = 9
