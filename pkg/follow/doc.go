// Package follow keeps a copy of the keys under a prefix of the platform's store
// by listing them once and then waiting for changes.
//
// It reports every successful call with the time at which the call was sent. The
// copy is at least as recent as that time, so the age of a configuration is computed
// from it. The store may be slow or unavailable, lose responses or compact its history.
// Each of these leads to a retry or a new list, never to an older copy.
package follow
