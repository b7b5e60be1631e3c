// Package clients tests daemons as separate processes against clients that do not
// observe the limits: the processes live, stay within their memory, and serve ordinary
// callers meanwhile.
package clients
