// Package figengine is the client for model engines: it sends prefill and decode requests, reads
// load and cache events, and controls models, roles and KV cache transfers. Engine is a struct of
// functions, so that a constructor can implement another engine protocol and a test can replace
// single functions.
//
// # Usage
//
//	engine := figengine.OpenAI(sender)
//	result, err := engine.Prefill(ctx, prefillServer, &request)
//	stream, err := engine.Decode(ctx, decodeServer, &request, result)
//	defer stream.Close() // cancels the request on the engine
//
// Prefill and Decode change only the fields of the caller's JSON body that the router sets or must
// remove, and copy the values of all other fields byte for byte.
//
// Errors of the calls to engines are of type *figsend.Failure. Its Outcome says whether the call can
// have run on the engine.
package figengine
