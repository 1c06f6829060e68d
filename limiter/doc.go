// Package limiter keeps the calls that one server gets from all nodes together within a limit,
// without any agreement between the nodes: a few nodes are chosen, and each sends one call per
// interval. It is pure: it does no I/O and takes the time as an argument.
package limiter
