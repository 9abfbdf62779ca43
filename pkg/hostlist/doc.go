// Package hostlist spreads the platform's list of hosts between entry hosts.
//
// Only the configuration readers of a failure domain watch the platform's list,
// since its calls are counted and its rates grow more slowly than the fleet. The
// other hosts ask a peer in turn for a newer version. The highest version wins; a
// platform that goes back in time is ignored. The list itself lags, so nothing
// safety-relevant depends on it alone.
package hostlist
