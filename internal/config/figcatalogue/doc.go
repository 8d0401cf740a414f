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
// In a large fleet only a few instances, the readers, call the source, because each call costs. The others
// follow one of them: a call to it waits until there are changes. A follower whose readers don't answer or
// can't read the source reads it itself. Instances also tell each other their position, and one that stays
// behind another fetches the changes from there, whatever its reader or its own watch does.
//
// Positions in the source have an epoch, which rises when the source is restored from an older copy, so that it has
// lost changes and assigns their revisions again. Contents of a later epoch replace those of an earlier one whatever
// their revisions, except for what this instance knows better: versions of declarations only grow, servers that
// were leaving stay so until they are written again, removed ones get no work for departedDoubt, and missing
// entries stay in use for restoredGrace. Contents for other instances hold all of that.
//
// A View is immutable. A request should load the current one again right before each
// send to a server. Declarations with a lower version than the active one, as in a
// stale response, are rejected. While the source can't be read, the last view stays
// active, unless another instance has a newer one. A server that is removed without
// notice stays in the view for a short time as a last resort, because entries also
// expire while the source itself is unavailable; see RemovedServerGrace.
package figcatalogue
