// Package verifier verifies that what a server sends over a connection is a whole, well-formed
// response of HTTP/1.1, beyond what the standard library checks.
//
//	V1  A connection that failed is never read as one that was closed in order, even
//	    if the kernel reported the failure, which it does once, to a write.
//	V2  Field names of heads and trailers are tokens.
//	V3  Lines of a head are not folded.
//	V4  Status codes are from 100 to 599, those of final responses from 200 on.
//	V5  The version is 1.x, and the reason phrase has no control characters.
package verifier
