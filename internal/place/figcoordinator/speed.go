package figcoordinator

import "figtrail.dev/figtrail/internal/place/figbalancer"

// Speed returns the measured speed of a server that this instance coordinates, as a multiple of its pool's mean; 1 if
// unknown.
func (c *Coordinator) Speed(lifetime string) float64 { return c.picker.Speed(lifetime) }

// SpeedStatus returns what is known of the speeds of the servers that this instance coordinates.
func (c *Coordinator) SpeedStatus() figbalancer.SpeedStatus { return c.picker.SpeedStatus() }
