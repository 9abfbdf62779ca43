// Package ident defines the identifiers that all packages share: hosts, failure
// domains, organisations, models, backend servers, keys and requests.
package ident
