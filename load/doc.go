// Package load is the load and experiment tool: it sends requests at times that
// do not depend on the answers (open loop, so that a stalled system is not
// spared the requests that would have come), injects faults on a schedule, and
// checks what callers were told against what the servers did.
package load
