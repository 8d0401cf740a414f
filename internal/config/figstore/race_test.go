//go:build race

package figstore_test

// largestFleet is the size of the largest fleet that the tests run. With the goroutines of larger fleets the race
// detector itself fails: at its goroutine limit or with an internal error.
const largestFleet = 9
