// Package serverlimit keeps the limits that backend servers name: how many requests per
// second a server takes from all hosts together.
//
// Hosts tell each other which limits they have heard. Requests to a limited server need a
// permit. One host, the coordinator, issues the permits for a server from a token bucket; the
// hosts choose it by rendezvous hashing, so all that see the same fleet agree on it.
//
// A server that is cold has a limit from another source: its entry says how long it stays cold,
// and the configuration how many requests it takes meanwhile. Such a limit has an end and holds
// in any one second, whatever hosts know of each other.
//
// A Limiter is a state machine without clock or I/O.
package serverlimit
