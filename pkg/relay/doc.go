// Package relay makes the routing decisions for requests that are forwarded with
// method, path, headers and body unchanged.
//
// A Relay is a reducer: Step takes an event and returns effects. It has no clock,
// does no I/O and starts no goroutines. The driver in pkg/relayhost executes the
// effects and feeds their results back as events.
//
// A request to a plain service is sent to one backend server, and retried at another
// one if the kind of its route and the retry budget allow it. A request to a model
// service reserves KV cache memory at a decode engine, is prefilled at a prefill
// engine and then runs at the decode engine, which fetches the KV cache itself.
// Prefill starts only after the reservation, so that no prefill is wasted while
// decode memory is short.
package relay
