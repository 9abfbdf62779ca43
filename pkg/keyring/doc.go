// Package keyring generates caller keys and verifies presented keys against the
// salted hashes that the rules publish. A key is "<key id>.<secret>".
package keyring
