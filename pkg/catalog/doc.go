// Package catalog holds one version of the operators' configuration of routes,
// services and organisations, indexed for matching requests.
//
// A Snapshot does not change once it is built. Hosts replace it as a whole when a
// newer version arrives and never return to an older one.
package catalog
