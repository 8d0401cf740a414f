// Package figconnection holds the connections of an HTTP server's callers, so that a shutdown answers every request that
// has come: also on connections that the server hasn't accepted yet and on idle ones. It makes connections give up the
// memory that they hold where it is needed, and keeps those open for a moment whose request wasn't read to its end.
//
// # Usage
//
//	s := figconnection.New(figconnection.Options{Clock: clock, Budget: budget})
//	held, ok := s.Listen(listener)
//	server := &fasthttp.Server{ConnState: figconnection.Track, …}
//	err := server.Serve(held)
//	…
//	s.Advance(figconnection.Stopping)
//	_, err = s.Wait(ctx)
//	s.Advance(figconnection.Aborting)
//	left := s.WaitForAnswers()
//
// The handler calls Conn.Take for each request, and closes a connection after its answer only if Conn.HasNext is false.
package figconnection
