// Package retrier decides what becomes of a call whose attempt failed: whether
// another attempt may be made, what may be said of the call if none is made,
// and whether the node can afford another attempt. It is pure: it does no I/O
// and takes the time as an argument.
//
//	R1  The table of phase and repeatability decides; it has a row for each
//	    cell and no default that permits anything.
//	R2  A call that may not be repeated is sent again only if it is proven that
//	    no backend server began it (rule G6): no byte was sent, or the server
//	    refused it by contract.
//	R3  What is said of a call covers all of its attempts: one attempt that may
//	    have run makes the whole call "unknown", whatever the last attempt
//	    proves (rule G5).
//	R4  A stream of which tokens were delivered is resumed after the last
//	    delivered token, never begun again.
//	R5  Retries of a node never exceed Fraction of its calls, plus Floor a
//	    second, plus Burst; so the loss of a zone can't multiply the load of the
//	    zones that are left.
//	R6  After an attempt that put no load on a server, the next one is free: no
//	    server was reached, or one refused because this server can't take the
//	    call now (it is not ready, it leaves, the token is stale). A refusal for
//	    load, or for no stated reason, is not free: the next server is probably
//	    as busy. MaxAttempts bounds what is free all the same.
//	R7  Where a site's bound is told for a span of time, the retries of a node in a
//	    span that ends with one of them never exceed Fraction of its calls in that
//	    span plus Slack; so the nodes together keep the bound, however the calls are
//	    divided among them.
package retrier

import "github.com/garnetworks/garnetworks"

// Repeatability says what a second execution of a call would do.
type Repeatability string

const (
	// Repeatable calls do no harm when they run twice: calls to models, and the
	// calls of plain services that the manifest marks so.
	Repeatable Repeatability = "repeatable"
	// NotRepeatable calls may run once at most for each receipt.
	NotRepeatable Repeatability = "not-repeatable"
	// Keyed calls may not be repeated and carry an idempotency key, under which
	// they are claimed; they may run once at most over all receipts.
	Keyed Repeatability = "keyed"
)

// Repeatabilities lists all values in the table's order.
func Repeatabilities() []Repeatability {
	return []Repeatability{Repeatable, NotRepeatable, Keyed}
}

// Phases lists all phases in the order in which an attempt passes them.
func Phases() []garnetworks.CallPhase {
	return []garnetworks.CallPhase{
		garnetworks.PhaseConnect,
		garnetworks.PhaseWrite,
		garnetworks.PhaseWait,
		garnetworks.PhaseRefused,
		garnetworks.PhaseHeaders,
		garnetworks.PhaseBody,
		garnetworks.PhaseMismatched,
		garnetworks.PhaseDone,
	}
}

// Cell is one cell of the failure table.
type Cell struct {
	Phase         garnetworks.CallPhase
	Repeatability Repeatability
	// Retry says that the call may be sent to another backend server.
	Retry bool
	// Outcome is what this attempt allows to be said of the call if no other
	// attempt is made.
	Outcome garnetworks.Outcome
	// Reason is one sentence for logs and for the operators' page.
	Reason string
}

const (
	reasonConnect                 = "no byte of the call was sent, so no server can have begun it"
	reasonRefused                 = "the server answered, by contract, that it did not begin the call"
	reasonWriteRepeatable         = "the server may have begun the call; running it twice does no harm"
	reasonWriteNotRepeatable      = "some bytes were sent, so the server may have begun the call"
	reasonWriteKeyed              = "some bytes were sent under the claim; the claim ends as unknown"
	reasonWaitRepeatable          = "the server may be running the call; running it twice does no harm"
	reasonWaitNotRepeatable       = "the call was sent whole, so the server may have run it"
	reasonWaitKeyed               = "the call was sent whole under the claim; the claim ends as unknown"
	reasonHeadersRepeatable       = "the server ran the call, wholly or in part; running it twice does no harm"
	reasonHeadersNotRepeatable    = "the server began its answer, so it ran the call, wholly or in part"
	reasonHeadersKeyed            = "the server began its answer under the claim; the claim ends as unknown"
	reasonBodyRepeatable          = "the answer is not whole and is dropped; running the call twice does no harm"
	reasonBodyNotRepeatable       = "the server ran the call, but its answer is not whole"
	reasonBodyKeyed               = "the server ran the call, but there is no whole answer to record"
	reasonMismatchedRepeatable    = "the answer was another call's and is dropped; what became of this call is not known"
	reasonMismatchedNotRepeatable = "the answer was another call's; this call may have run all the same"
	reasonMismatchedKeyed         = "the answer was another call's and must not be recorded; this call may have run"
	reasonDone                    = "the whole answer came"
)

// table is rule R1.
var table = []Cell{
	{garnetworks.PhaseConnect, Repeatable, true, garnetworks.OutcomeNotRun, reasonConnect},
	{garnetworks.PhaseConnect, NotRepeatable, true, garnetworks.OutcomeNotRun, reasonConnect},
	{garnetworks.PhaseConnect, Keyed, true, garnetworks.OutcomeNotRun, reasonConnect},

	{garnetworks.PhaseWrite, Repeatable, true, garnetworks.OutcomeUnknown, reasonWriteRepeatable},
	{garnetworks.PhaseWrite, NotRepeatable, false, garnetworks.OutcomeUnknown, reasonWriteNotRepeatable},
	{garnetworks.PhaseWrite, Keyed, false, garnetworks.OutcomeUnknown, reasonWriteKeyed},

	{garnetworks.PhaseWait, Repeatable, true, garnetworks.OutcomeUnknown, reasonWaitRepeatable},
	{garnetworks.PhaseWait, NotRepeatable, false, garnetworks.OutcomeUnknown, reasonWaitNotRepeatable},
	{garnetworks.PhaseWait, Keyed, false, garnetworks.OutcomeUnknown, reasonWaitKeyed},

	{garnetworks.PhaseRefused, Repeatable, true, garnetworks.OutcomeNotRun, reasonRefused},
	{garnetworks.PhaseRefused, NotRepeatable, true, garnetworks.OutcomeNotRun, reasonRefused},
	{garnetworks.PhaseRefused, Keyed, true, garnetworks.OutcomeNotRun, reasonRefused},

	{garnetworks.PhaseHeaders, Repeatable, true, garnetworks.OutcomeUnknown, reasonHeadersRepeatable},
	{garnetworks.PhaseHeaders, NotRepeatable, false, garnetworks.OutcomeUnknown, reasonHeadersNotRepeatable},
	{garnetworks.PhaseHeaders, Keyed, false, garnetworks.OutcomeUnknown, reasonHeadersKeyed},

	{garnetworks.PhaseBody, Repeatable, true, garnetworks.OutcomeUnknown, reasonBodyRepeatable},
	{garnetworks.PhaseBody, NotRepeatable, false, garnetworks.OutcomeUnknown, reasonBodyNotRepeatable},
	{garnetworks.PhaseBody, Keyed, false, garnetworks.OutcomeUnknown, reasonBodyKeyed},

	{garnetworks.PhaseMismatched, Repeatable, true, garnetworks.OutcomeUnknown, reasonMismatchedRepeatable},
	{garnetworks.PhaseMismatched, NotRepeatable, false, garnetworks.OutcomeUnknown, reasonMismatchedNotRepeatable},
	{garnetworks.PhaseMismatched, Keyed, false, garnetworks.OutcomeUnknown, reasonMismatchedKeyed},

	{garnetworks.PhaseDone, Repeatable, false, garnetworks.OutcomeCompleted, reasonDone},
	{garnetworks.PhaseDone, NotRepeatable, false, garnetworks.OutcomeCompleted, reasonDone},
	{garnetworks.PhaseDone, Keyed, false, garnetworks.OutcomeCompleted, reasonDone},
}

// Table returns the failure table, one cell for each phase and repeatability.
func Table() []Cell { return append([]Cell(nil), table...) }

// Lookup returns the table's cell. A pair that the table does not know is never
// retried and never called "not run".
func Lookup(phase garnetworks.CallPhase, repeatability Repeatability) Cell {
	for _, c := range table {
		if c.Phase == phase && c.Repeatability == repeatability {
			return c
		}
	}
	return Cell{
		Phase:         phase,
		Repeatability: repeatability,
		Outcome:       garnetworks.OutcomeUnknown,
		Reason:        "the attempt ended in a way that the table does not know",
	}
}

// Decision is the decision after an attempt.
type Decision struct {
	// Retry permits another attempt, if deadline and budget allow one.
	Retry bool
	// Resume says that the next attempt goes on after the delivered tokens.
	Resume bool
	// Free says that a retry takes nothing from the budget (rule R6).
	Free bool
	// Outcome is what may be said of the whole call if no attempt follows.
	Outcome garnetworks.Outcome
	Reason  string
}

// History is what the attempts of one call have shown so far. The zero value
// with Repeatability set is a call without attempts.
type History struct {
	Repeatability Repeatability
	// Attempts counts the attempts that ended.
	Attempts int
	// MaxAttempts bounds Attempts; above 0.
	MaxAttempts int
	// MayHaveRun says that an attempt ended without proof that the call was not
	// begun. It never goes back to false.
	MayHaveRun bool
}

// Failure is how an attempt failed.
type Failure struct {
	Phase garnetworks.CallPhase
	// Refusal is the kind that the server gave with PhaseRefused; it means nothing
	// with other phases.
	Refusal garnetworks.Kind
	// Delivered says that tokens of the call were delivered to the caller before or
	// during the attempt.
	Delivered bool
}

// free is rule R6.
func (f Failure) free() bool {
	switch f.Phase {
	case garnetworks.PhaseConnect:
		return true
	case garnetworks.PhaseRefused:
		return f.Refusal == garnetworks.KindNotReady ||
			f.Refusal == garnetworks.KindStaleToken ||
			f.Refusal == garnetworks.KindShuttingDown
	}
	return false
}

// RecordFailure takes the end of an attempt that failed.
func (h *History) RecordFailure(f Failure) Decision {
	cell := Lookup(f.Phase, h.Repeatability)
	h.Attempts++
	// Failure: the first attempt breaks off while waiting and may be running,
	// the second one finds no server. The last attempt alone would say "not run"
	// of a call that ran. The history keeps the doubt (rule R3).
	if cell.Outcome != garnetworks.OutcomeNotRun || f.Delivered {
		h.MayHaveRun = true
	}
	// What may have run in any attempt is not sent again, even if the last one
	// proves that it did not run this time (rule R2).
	mustNotRepeat := h.Repeatability != Repeatable && h.MayHaveRun
	return Decision{
		Retry:   cell.Retry && !mustNotRepeat && h.Attempts < h.MaxAttempts,
		Resume:  f.Delivered, // rule R4
		Free:    f.free(),
		Outcome: h.Outcome(),
		Reason:  cell.Reason,
	}
}

// Outcome is what may be said of the call if it ends now without an answer.
func (h *History) Outcome() garnetworks.Outcome {
	if h.MayHaveRun {
		return garnetworks.OutcomeUnknown
	}
	return garnetworks.OutcomeNotRun
}
