// Package entryhost assembles an entry host from the packages of the library: it
// validates the settings, opens the listeners and runs the node until shutdown.
// The mulberrystream daemon is a thin main function around it.
package entryhost
