// Package retrier decides how to handle a failed attempt at a call: whether another
// attempt may be made, what outcome may be reported if none is made, and whether the
// node's budget allows another attempt. It is pure: it does no I/O and takes the time
// as an argument.
//
//	R1  The table of phase and repeatability decides; it has a cell for each
//	    combination and no default that permits anything.
//	R2  A call that may not be repeated is sent again only if it is proven that
//	    no backend server began it (rule G6): no byte was sent, or the server
//	    refused it by contract.
//	R3  The outcome of a call covers all of its attempts: one attempt that may
//	    have run makes the whole call "unknown", whatever the last attempt
//	    proves (rule G5).
//	R4  A stream of which tokens were delivered is resumed after the last
//	    delivered token, never restarted.
//	R5  Retries of a node never exceed Fraction of its calls, plus MinPerSecond a
//	    second, plus Burst, plus one for each restart; so the loss of a zone can't
//	    multiply the load of the remaining zones.
//	R6  After an attempt that put no load on a server, the next one is free: no
//	    server was reached, or the server refused for a reason of its own (it is
//	    not ready, it is leaving, the token is stale). A refusal for overload, or
//	    without a reason, is not free: the next server is probably as busy.
//	    MaxAttempts bounds free retries as well.
//	R7  Where a site's bound is given for a span of time, the retries of a node in
//	    a span that ends with one of them never exceed Fraction of its calls in
//	    that span plus Slack; so the nodes together keep the bound, however the
//	    calls are divided among them.
//	R8  A process does not know the retries of its predecessor on the node. In its first
//	    span it gets StartFraction of its calls and no slack, so that however often
//	    nodes restart, their retries in a span exceed those of R7 by StartFraction of
//	    the calls at most.
//	R9  What R7 and R8 allow a node is rounded at random: with many nodes each share is
//	    below one retry, and rounded down no node would have any.
package retrier

import "github.com/garnetworks/garnetworks"

// Repeatability says whether a call may be executed twice.
type Repeatability string

const (
	// Repeatable calls may run twice without harm: calls to models, and calls to plain
	// services that the manifest marks as repeatable.
	Repeatable Repeatability = "repeatable"
	// NotRepeatable calls may run at most once for each receipt.
	NotRepeatable Repeatability = "not-repeatable"
	// Keyed calls may not be repeated and carry an idempotency key, under which they
	// are claimed; they may run at most once over all receipts.
	Keyed Repeatability = "keyed"
)

// Repeatabilities lists all values in the order of the table.
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
	// Retry permits sending the call to another backend server.
	Retry bool
	// Outcome is what may be reported, as far as this attempt goes, if no other
	// attempt is made.
	Outcome garnetworks.Outcome
	// Reason explains the cell in one sentence.
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

// table is the failure table (rule R1).
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

// Lookup returns the cell of a pair. A pair that is not in the table is never retried
// and never reported as "not run".
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

// Decision is the decision after a failed attempt.
type Decision struct {
	// Retry permits another attempt, if deadline and budget allow one.
	Retry bool
	// Resume says that the next attempt continues after the delivered tokens.
	Resume bool
	// Free says that a retry takes nothing from the budget (rule R6).
	Free bool
	// Outcome is what may be reported of the whole call if no attempt follows.
	Outcome garnetworks.Outcome
	Reason  string
}

// History accumulates the results of one call's attempts. The zero value with
// Repeatability and MaxAttempts set is a call without attempts.
type History struct {
	Repeatability Repeatability
	// Attempts counts the attempts that ended.
	Attempts int
	// MaxAttempts bounds Attempts; above 0.
	MaxAttempts int
	// MayHaveRun says that an attempt ended without proof that the call was not begun.
	// It is never reset.
	MayHaveRun bool
}

// Failure describes how an attempt failed.
type Failure struct {
	Phase garnetworks.CallPhase
	// Refusal is the kind that the server gave with PhaseRefused; it is ignored in other
	// phases.
	Refusal garnetworks.Kind
	// Delivered says that tokens of the call were delivered to the caller before or during
	// the attempt.
	Delivered bool
}

// free reports whether a retry is free (rule R6).
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

// RecordFailure records a failed attempt and decides what follows.
func (h *History) RecordFailure(f Failure) Decision {
	cell := Lookup(f.Phase, h.Repeatability)
	h.Attempts++
	// An earlier attempt may still be running when the last one proves that it did not
	// run; the last one alone would report "not run" (rule R3).
	if cell.Outcome != garnetworks.OutcomeNotRun || f.Delivered {
		h.MayHaveRun = true
	}
	// A call that may have run in any attempt is not sent again, even if the last attempt
	// is proven not to have run (rule R2).
	mustNotRepeat := h.Repeatability != Repeatable && h.MayHaveRun
	return Decision{
		Retry:   cell.Retry && !mustNotRepeat && h.Attempts < h.MaxAttempts,
		Resume:  f.Delivered, // rule R4
		Free:    f.free(),
		Outcome: h.Outcome(),
		Reason:  cell.Reason,
	}
}

// Outcome is what may be reported of the call if it ends now without an answer.
func (h *History) Outcome() garnetworks.Outcome {
	if h.MayHaveRun {
		return garnetworks.OutcomeUnknown
	}
	return garnetworks.OutcomeNotRun
}
