// Package evacuation keeps which failure domains the operators have evacuated.
//
// A backend server of an evacuated domain gets no requests and no control calls. Once the
// evacuation is withdrawn, the share of requests that the servers of the domain get grows over
// Config.Ramp.
//
// A Tracker is a state machine without clock or I/O. Its input is the platform's store alone: a
// store that cannot be read changes nothing.
package evacuation
