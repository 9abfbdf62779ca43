// Package ident defines the identifiers that all parts share: hosts, failure
// domains, organisations, models, backend servers, keys and requests.
package ident
