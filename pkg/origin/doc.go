// Package origin remembers which software version of the backend servers began each
// stream, so that a stream is continued only at that version.
//
// A caller may resume a broken stream at any host, also after the host that relayed it has
// stopped. Tracker is a state machine without clock, I/O and goroutines: it keeps the
// origins of this host's streams, tells them to a few other hosts before the first event of
// a stream is sent, and asks these hosts when a caller resumes a stream. While one version
// alone can have begun a stream of a service, no host is told; a stream that no host has a
// record of is then of that version.
//
// What a Tracker relies on: a process begins no stream later than Linger after its entry was
// removed, and an entry is listed for at least EntryLag and changes at most that long after
// the process did. A stream that began at a process whose entry is not listed yet, under the
// id of an earlier process with another version, is taken for one of the earlier version
// until the list of this host shows the change.
package origin
