// Package enginehttp implements clients for engines and plain services over HTTP,
// as docs/engines.md describes. Each call is sent at most once, and an error says
// whether the backend server is known not to have started the work.
package enginehttp
