// Package confsync brings a new configuration generation to every host.
//
// A few hosts of each failure domain, the readers, watch the platform's
// configuration service. Heartbeats carry revision and digest; a host that hears
// of a higher revision fetches the text from that peer, in parts of bounded size
// and as a delta against the generation that it has, where the peer still knows
// that one. Only a whole text with the right digest that validates comes into
// force, and the highest revision wins, so that order, loss and duplication of
// messages do not matter.
//
// The package is a pure part: times are arguments, messages, platform reads and
// alarms are return values, and the same calls give the same results.
package confsync
