//go:build !race

package figstore_test

// largestFleet is the size of the largest fleet that the tests run.
const largestFleet = 480
