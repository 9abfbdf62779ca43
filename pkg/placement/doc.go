// Package placement books engines for requests. For each pool (the engines of one
// model in one failure domain) one entry host is the owner: it queues requests by
// organisation and books a prefill engine, the link and a decode slot together,
// before the prefill starts.
//
// A Placer implements both sides: the client side for the requests that entered at
// this host, and the owner side for the pools that rendezvous hashing assigns to it.
// It is a deterministic state machine without clock, I/O or goroutines: the same
// calls give the same results.
package placement
