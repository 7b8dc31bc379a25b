// Package load implements the load testing tool. It generates open-loop load: requests are
// sent at times that do not depend on responses, so that a stalled system still gets the
// requests that would have arrived. It injects faults on a schedule and checks the responses
// that callers got against the requests that the servers ran.
package load
