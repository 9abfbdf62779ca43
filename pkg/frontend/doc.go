// Package frontend is the caller API on fasthttp: OpenAI-style completions and
// chat completions, streamed or whole, the model list, and plain services by
// route.
//
// fasthttp does not tell a handler that its caller has gone while nothing is
// written, so the front end watches the connection itself; see watch.go. A key is
// verified here and goes no further. A stream ends with its terminator only when
// the whole answer came; otherwise it ends with an error event and a connection
// that is closed without the end of the chunked body.
package frontend
