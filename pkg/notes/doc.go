// Package notes carries updates between hosts in their heartbeats.
//
// A note states one fact that a host knows first-hand: the value of a key of some kind. The
// sender repeats a note for a few heartbeat intervals, because datagrams are lost, and the
// receiver delivers each version once. The bytes of notes in a heartbeat are bounded; urgent
// kinds and new notes go first.
//
// A Carrier is a state machine without clock or I/O.
package notes
