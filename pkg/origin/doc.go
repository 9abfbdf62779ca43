// Package origin remembers which software version of the backend servers began each
// stream, so that a stream is continued only at that version.
//
// A caller may resume a broken stream at any host, also after the host that relayed it has
// stopped. Tracker is a state machine without clock, I/O and goroutines: it keeps the
// origins of this host's streams, tells them to a few other hosts before the first event of
// a stream is sent, and asks these hosts when a caller resumes a stream. While one version
// alone can have begun a stream of a service, nothing is sent.
package origin
