// Package startsignals receives the signals to a daemon from the initialisation of the program
// on, so that a signal to reload settings does not terminate a process that is starting. Only
// main packages may import it, since it changes what signals do to the process.
//
// It imports nothing but the standard library: Go initialises packages whose imports are
// initialised in the order of their paths, so that this one does not wait for most others. A
// signal that arrives before, while the Go runtime starts, still has its default action.
package startsignals

import (
	"os"
	"os/signal"
	"syscall"
)

// Received gets SIGTERM, SIGINT and SIGHUP. Its buffer holds one of each and a second one of
// an impatient sender.
var Received = receive()

func receive() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return signals
}
