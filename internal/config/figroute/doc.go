// Package figroute holds the declarations that select a pool by host and path:
// routes with their retry rules, pools with their limits, and client accounts with
// keys and rate limits. It contains data types and lookups, and does no I/O.
//
// # Usage
//
//	t := figroute.NewTable(declarations)
//	route, ok := t.Match(host, path)
//	account, ok := t.AccountByKey(secret)
//
// A Table is immutable. Of the routes of a host, the one with the longest prefix of
// the path matches. A Table holds the digests of keys, never their text.
package figroute
