// Package router is the data path of one entry host: it takes callers' requests
// over HTTP, finds the page of the key, and either dispatches the request to
// the key's owner, if this router holds the page's dispatch lease, or forwards
// it to the router that does.
//
// Concurrency: each request runs in the goroutine that brought it. The state of
// a page is behind one mutex that is never held across I/O; what a request
// needs to decide about its target is an immutable snapshot.
package router
