// Package driver executes the effects of the reducer as I/O and reports the
// results back to the reducer as events.
//
// A single goroutine runs the reducer. Each call to a backend server, each read
// from the platform and each queue of messages to a peer runs in its own goroutine
// in the driver's errgroup and posts its result as an event. A call checks the
// deadline of its effect immediately before sending, so that a process that was
// paused does not act on outdated effects. The driver holds the data that must
// not enter the reducer: prompts, tokens and responses.
package driver
