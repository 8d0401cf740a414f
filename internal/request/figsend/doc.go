// Package figsend sends requests to backend servers over HTTP and reads their
// answers. It makes exactly one attempt for each call: the library's own
// retries are off, whatever the method. Whether an attempt may be repeated is
// the caller's decision, for which every error carries a Failure that says if
// the request can have run.
//
// # Usage
//
//	s := figsend.New(figsend.Options{})
//	defer s.Close()
//
// A whole answer, proved complete by its own length or end marker:
//
//	answer, err := s.Do(ctx, &figsend.Call{
//		ID: id, Server: server, Method: "POST", Path: "/refunds", Body: body,
//		Deadline: deadline,
//	})
//	if figsend.RanOf(err) == figsend.NotRun {
//		// another server may be tried, even for a non-idempotent call
//	}
//
// A body that is read as it comes, event by event:
//
//	stream, err := s.Stream(ctx, call)
//	defer stream.Close() // closes the connection, which cancels the request
//	for {
//		event, err := stream.Next(ctx, stall)
//		if errors.Is(err, io.EOF) {
//			break // the end was proved
//		}
//	}
//
// Only calls declared idempotent use kept connections. A kept connection is
// checked before it is used, closed after a short idle time, and given up, with
// all its idle neighbours, when an answer stays away on it. All other calls and
// all streams get a connection of their own, which is closed after them.
//
// Hop-by-hop headers and the caller's key are removed from what is sent.
package figsend
