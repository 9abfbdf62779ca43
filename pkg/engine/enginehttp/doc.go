// Package enginehttp reaches engines and plain services over HTTP as
// docs/engines.md describes. Each call is sent at most once, and an error says
// whether the backend server surely did not start the work.
package enginehttp
