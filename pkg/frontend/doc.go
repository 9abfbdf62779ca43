// Package frontend implements the caller API on fasthttp: OpenAI-style completions
// and chat completions, streamed or as one response, the model list, and plain
// services by route.
//
// fasthttp does not notify a handler that its caller has disconnected while
// nothing is written, so the front end polls the connection itself; see watch.go.
// Keys are verified here and never passed on. A stream ends with its terminator
// only if the response is complete; otherwise it ends with an error event, and
// the connection is closed without the final chunk of the chunked body.
package frontend
