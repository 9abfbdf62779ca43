// Package ingress bounds what callers can make a process hold: connections and descriptors,
// request heads and bodies, and responses that are not read. It closes connections of callers
// that send or read too slowly, and of idle ones when connections run short. A request that is
// running at a server is never closed for another one.
//
// A Guard holds the limits of a process. Each listener of the process is wrapped by
// Guard.Listen, whose connections work with net/http and with fasthttp. docs/design/ingress.md
// describes the design.
package ingress
