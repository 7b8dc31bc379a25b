// Package bench measures the control plane and its reactions to losses. It runs
// the real controllers and routers of one failure domain in one process, joined
// by links that call directly and count what a wire would carry.
package bench
