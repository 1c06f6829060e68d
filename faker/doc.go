// Package faker provides small fakes of the platform's services: the object API, the
// instance list, the power switch, the weight store, model engines and plain services.
// They implement the root package's interfaces in process and serve them over HTTP on the
// loopback address (ServePlatform, ServeEngine, ServeService) in the formats of
// docs/wire.md.
//
// Rules that test oracles may rely on:
//
//	F1  Each fake embeds Faults. A fault changes when and whether responses
//	    arrive, never whether the fake's own state is consistent.
//	F2  An engine generates a token only while it is a member of the call's
//	    group with the call's token and each member of the group is up and
//	    holds the same group and token.
//	F3  The text of a response is a function of model, adapter, prompt and token
//	    position alone (Token), so that any complete response can be checked and
//	    any engine can resume another's stream.
//	F4  A plain service counts each execution by call identifier, idempotency
//	    key and body before it responds.
//	F5  An engine that checks fencing refuses an order whose token is lower than
//	    the highest it has seen; one that doesn't executes every order.
package faker
