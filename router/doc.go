// Package router is the data path of one host. It accepts callers' HTTP requests
// and looks up the page, the range of key hashes that a request belongs to. If
// this router holds the page's dispatch lease, it sends the request to the key's
// owner; otherwise it forwards the request to the router that holds the lease.
//
// Concurrency: each request runs in the goroutine that received it. One mutex
// guards the state of a page and is never held during I/O. Requests choose their
// target from an immutable snapshot of the lease.
package router
