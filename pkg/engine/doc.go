// Package engine describes the model engines that the router serves: what can
// be asked of them and what they report. It holds no I/O; the package enginehttp
// is the HTTP adapter.
//
// Every message to an engine carries a request id and an attempt. Every answer
// repeats them, so that a late answer of an older attempt can be told apart and
// dropped.
package engine
