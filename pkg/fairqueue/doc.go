// Package fairqueue implements a weighted fair queue over organisations with costs in
// tokens. An organisation that sends several times its share waits behind its own
// backlog; the others are served as if it sent only its share.
//
// The queue follows start-time fair queueing: a flow carries one virtual start
// time, which grows by cost / weight with each served item. It has no clock and
// no lock; the caller serialises access.
package fairqueue
