// Package bench benchmarks the control plane and its failover. It runs the real controllers
// and routers of one failure domain in one process. Their links are direct calls that count
// the messages and bytes that a network would carry.
package bench
