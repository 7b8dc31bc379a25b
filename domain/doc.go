// Package domain is the controller's work in one failure domain: it watches the
// store, renews the pages whose groups it is a member of, judges the health of
// backend servers, moves shards, and feeds the routers.
//
// The duties are goroutines joined by one bounded ring: a loop owns all state
// machines and is the only one to step them; a store duty watches; calls to
// peers, backend servers and routers run beside the loop and post their answers.
package domain
