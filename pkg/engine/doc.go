// Package engine defines the interface to the model engines behind the router:
// the calls, their messages and the load reports. It does no I/O; the package
// enginehttp is the HTTP adapter.
//
// Every call for a request carries a request id and an attempt number. Every
// answer repeats them, so that a late answer to an older attempt can be detected
// and dropped.
package engine
