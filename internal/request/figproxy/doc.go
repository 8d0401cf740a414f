// Package figproxy serves a request on a configured route as a reverse proxy. It
// matches the route, authenticates the client account, takes the request's cost from
// the account's rate limit, picks a backend server, sends the request and relays the
// answer or the event stream. For a model request either a prefill server computes the
// prompt and a decode server continues from its KV cache, or a decode server does both:
// whichever is expected to give the first event sooner.
//
// # Usage
//
//	p := &figproxy.Proxy{View: catalogue.View, Picker: picker, Sender: sender, Dialect: dialect, …}
//	reply := p.Serve(ctx, call)
//	defer reply.Stream.Close() // if reply.Stream is not nil
//
// The route's kind alone decides which retries are allowed. A request that may run only
// once is sent again only if the server refused it without running it, or if no byte of
// it was sent. The statuses 503 and 429 promise that the request did not run, so they
// are returned only if that holds for every send; otherwise the status is 502 or 504. A
// request that can't be served is refused at once, with a Retry-After time.
//
// A Dialect supplies the names of header fields and the formats of bodies, so that this
// package depends on no particular platform.
package figproxy
