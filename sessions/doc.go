// Package sessions holds end-to-end tests of whole fleets: scripts with golden
// files, fault injection and checks of concurrent histories. Daemons and
// stand-ins, which simulate endpoints, run as separate processes on loopback
// addresses. The package has tests only.
package sessions
