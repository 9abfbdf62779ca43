// Package platform is a client for the configuration service and the host list of
// the platform, as docs/engines.md describes. It returns a generation only if all
// chunks match the manifest.
package platform
