// Package figcatalogue holds what an instance has read from the platform: the
// active declarations, the backend servers, and the data centres that operators
// have taken out of service. It reads all contents of a source and then watches the source
// for changes; after a failed watch it reads all contents again.
//
// # Usage
//
//	c := figcatalogue.New(figcatalogue.Options{Source: source, Clock: clock})
//	go c.Run(ctx, timer)
//	v := c.View() // never nil; v.Table is nil until declarations were read
//
// A View is immutable. A request should load the current one again right before each
// send to a server. Declarations with a lower version than the active one, as in a
// stale response, are rejected. While the source can't be read, the last view stays
// active, unless another instance has a newer one. A server that is removed without
// notice stays in the view for a short time as a last resort, because entries also
// expire while the source itself is unavailable; see RemovedServerGrace.
package figcatalogue
