// Package figproxy serves one request on a declared route: it finds the route and
// the client account, charges the account, chooses a backend server, sends, and
// relays the answer or the stream. A model request is prefilled apart or computed
// whole by a decode server, whichever is expected to begin sooner.
//
// # Usage
//
//	f := &figproxy.Flow{View: catalogue.View, Picker: picker, Sender: sender, Dialect: dialect, …}
//	reply := f.Serve(ctx, call)
//	defer reply.Close()
//
// What may be repeated follows from the route's kind alone. A request that may run
// once is sent again only after a server said that it did not run it, or if no byte
// of it was sent. "Not run" (503, 429) is answered only if that holds for every
// send; otherwise the answer is 502 or 504. A request that can't be served is
// refused at once, with the time after which to come back.
//
// Names of header fields and formats of bodies come from a Dialect, so that this
// package knows no platform.
package figproxy
