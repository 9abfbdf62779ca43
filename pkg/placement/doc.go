// Package placement books engines for requests. For each pool (the engines of one
// model in one failure domain) one entry host is the owner: it queues requests by
// organisation and books a prefill engine, the link and a decode slot together,
// before the prefill starts.
//
// A Placer hosts both sides: the client side of the requests that entered at this
// host, and the owner side of the pools that rendezvous hashing gives to it. It is
// a pure reducer: no clock, no I/O, no goroutine, and the same calls give the same
// results.
package placement
