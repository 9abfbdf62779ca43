// Package entryhost assembles an entry host from the parts of the library: it
// checks the settings, opens the listeners and runs the node until it is told to
// stop. The daemon mulberrystream is a thin main around it.
package entryhost
