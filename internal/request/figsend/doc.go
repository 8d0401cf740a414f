// Package figsend is an HTTP client for backend servers that makes exactly one attempt per call. The retries of
// fasthttp, the HTTP library below it, are switched off for all methods. Callers decide about retries: every error is
// a *Failure, whose Outcome says whether the server can have run the request.
//
// # Usage
//
//	s := figsend.New(figsend.Options{})
//	defer s.Close()
//
// Do returns an answer that has been read completely, up to its content length or its last chunk:
//
//	answer, err := s.Do(ctx, &figsend.Call{
//		ID: id, Server: server, Method: "POST", Path: "/refunds", Body: body,
//		Deadline: deadline,
//	})
//	if figsend.OutcomeOf(err) == figsend.NotRun {
//		// a retry on another server is safe, even for a non-idempotent call
//	}
//
// Stream returns the body of an answer as server-sent events, as they arrive:
//
//	stream, err := s.Stream(ctx, call)
//	defer stream.Close() // closes the connection, which cancels the request
//	for {
//		event, err := stream.Next(ctx, stall)
//		if errors.Is(err, io.EOF) {
//			break // the stream is complete
//		}
//	}
//
// Idempotent calls of Do, and all calls with KeepAlive set, use pooled connections. A pooled connection is checked
// before each use and closed after a short idle time. When an answer times out, its connection and all idle
// connections to the same server are closed. Other calls and streams use a new connection, which is closed afterwards.
//
// Answers are read by figanswer. One that is malformed, or whose end isn't known, fails and its connection is closed.
//
// Hop-by-hop header fields and the caller's key are removed from requests.
package figsend
