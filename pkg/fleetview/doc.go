// Package fleetview states how certain a host is of its view of the fleet, and with that
// how much of what is shared by all hosts it may use.
//
// A View counts the hosts that are known, also after they have gone silent. A host that
// knows no other host, or hears half of the known ones at most, must not act for the others:
// they may still be running and see the same of this host.
//
// A View is a state machine without clock or I/O.
package fleetview
