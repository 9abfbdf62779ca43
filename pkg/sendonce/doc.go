// Package sendonce is an HTTP/1.1 client that sends each request at most once.
//
// It uses the message codec of fasthttp but not its HostClient: that client may
// send a request again after an error, and it ends no call when a context is
// cancelled. Here a call owns its connection, a cancelled context closes it, and
// an error says whether a byte of the request may have left.
package sendonce
