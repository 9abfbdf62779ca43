// Package startsignals receives SIGHUP from the initialisation of a daemon on, so that a signal to reload settings does not terminate a process that is starting. Only
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

// Reload gets a SIGHUP. One is enough: a reload reads all settings. Other signals keep their
// default action, so that they end a process that is starting.
var Reload = receive()

func receive() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
