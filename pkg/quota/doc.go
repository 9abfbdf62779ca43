// Package quota enforces each organisation's rate and burst over all hosts together,
// without shared state and without limits that an operator assigns to single hosts.
//
// Each host keeps a token bucket for the whole fleet and reports to the others how many
// tokens it has admitted since its start. Tokens that others have admitted are taken from
// the bucket when their report arrives. A host whose reports stop is assumed to use its
// equal share of the rate until they arrive again, so that the sides of a network
// partition together admit no more than the rate; docs/limits.md has the bound.
package quota
