// Package dispatch holds the decisions of the request path: whether a request
// may run, when, and what its caller may be told. It is pure: time comes in as
// an argument and nothing here does I/O. Types that are shared between
// goroutines say so.
package dispatch
