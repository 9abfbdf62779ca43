// Package sendonce is an HTTP/1.1 client that sends each request at most once.
//
// It writes requests and parses heads with fasthttp but does not use its HostClient: that
// client may resend a request after an error, and it does not abort calls when a context is
// cancelled. Each call has its connection to itself, cancelling the context closes that
// connection, and an error tells whether any byte of the request may have been sent.
//
// A head is checked by the grammar of RFC 9112 before fasthttp parses it, which accepts more.
// Bodies are read by this package, in pieces that count for the Budget of the client.
package sendonce
