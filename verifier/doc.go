// Package verifier verifies that what a server sends over a connection is a whole, well-formed
// response of HTTP/1.1, beyond what the standard library checks.
//
//	V1  The end of a connection that failed is never read as an end in order, whether
//	    a read or a write was told of the failure: the kernel tells only one of them.
//	V2  The name of each field, of the head and of the trailer, is a token.
//	V3  No line of a head continues the one before it.
//	V4  A status is from 100 to 599, that of a final response from 200 on.
//	V5  The version is 1.0 or a later 1.x, and the reason phrase has no control characters.
package verifier
