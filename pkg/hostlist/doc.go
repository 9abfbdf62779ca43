// Package hostlist distributes the platform's list of hosts among entry hosts.
//
// Only the configuration readers of a failure domain watch the platform's list,
// since the platform limits the call rate and the limit grows more slowly than the
// number of hosts. The other hosts poll their peers in rotation for a newer version.
// The highest version wins; a lower version from the platform is ignored. The list
// itself lags, so nothing safety-relevant depends on it alone.
package hostlist
