//go:build !race

package figstore_test

// Goroutines of the full size overflow the race detector's own clocks.
func init() { scaleSizes = append(scaleSizes, 480) }
