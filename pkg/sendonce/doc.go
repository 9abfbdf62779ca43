// Package sendonce is an HTTP/1.1 client that sends each request at most once.
//
// It uses the message codec of fasthttp but not its HostClient: that client may
// resend a request after an error, and it does not abort calls when a context is
// cancelled. Here each call has its connection to itself, cancelling the context closes
// that connection, and an error tells whether any byte of the request may have been sent.
package sendonce
