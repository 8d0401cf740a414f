// Package figengine is the adapter between figtrail and the model engines. An
// Engine is one concrete type whose function fields do the work, so that
// another engine protocol is another constructor and a test replaces single
// fields.
//
// # Usage
//
//	engine := figengine.OpenAI(sender)
//	result, err := engine.Prefill(ctx, prefillServer, &prompt)
//	stream, err := engine.Decode(ctx, decodeServer, &prompt, result)
//	defer stream.Close() // cancels the request on the engine
//
// Both calls rewrite the caller's JSON body: they set or remove the few fields
// that belong to figtrail and copy all others byte for byte.
//
// Errors are of type *figsend.Failure. Its Ran field says if the call can have
// run on the engine.
package figengine
