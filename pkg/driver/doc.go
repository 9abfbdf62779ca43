// Package driver turns the effects of the reducer into I/O and the outcomes of
// the I/O into events.
//
// One goroutine runs the reducer. Every call to a backend server, every read of
// the platform and every queue of messages to a peer has a goroutine of its own
// in the driver's errgroup and answers with an event. A call checks the deadline
// of its effect immediately before it sends, so that a process that was paused
// acts on nothing old. The driver keeps what must not enter the reducer: prompts,
// tokens and answers.
package driver
