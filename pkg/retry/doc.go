// Package retry implements the retry budget of one host. It limits retries to a share
// of the recent first attempts plus a floor per second, and to a fixed number per
// request. The budgets of all hosts add up to the same bound for the fleet without
// coordination between them.
package retry
