// Package retry is the retry budget of one host. Retries are at most a share of
// the recent first attempts plus a floor per second, and at most a fixed number
// per request. The budgets of all hosts add up to the same bound for the fleet
// without any exchange between them.
package retry
