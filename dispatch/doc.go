// Package dispatch holds the decisions of the request path: whether and when a
// request may run, and what may be reported to its caller. It is pure: the time is
// an argument and nothing here does I/O. Types that may be used by several
// goroutines at once say so.
package dispatch
