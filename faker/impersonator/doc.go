// Package impersonator provides fakes that speak the protocol of the users' platform over
// loopback: its store, model engines, plain services and the operator, each with the
// failures of the real ones. It is for tests only.
//
//	I1  A fake keeps the platform's guarantees unless a fault is set, and records
//	    what it saw: calls, runs, orders.
//	I2  Faults are data. Each is one field, set and cleared while the fake runs.
package impersonator
