// Package domain implements the controller of one failure domain. A controller
// watches the store, renews the leases of the pages whose groups it is a member of,
// checks the health of backend servers, moves shards and sends records to routers.
//
// One goroutine, the loop, owns all state machines and reads a bounded queue of
// events. Another goroutine watches the store. Calls to peers, backend servers and
// routers run in goroutines of their own, which post the answers to the queue.
package domain
