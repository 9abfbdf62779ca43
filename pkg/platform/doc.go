// Package platform reads the configuration service and the host list of the
// platform as docs/engines.md describes. It returns a generation only when the
// manifest and all its chunks fit together.
package platform
