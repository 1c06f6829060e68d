package checker

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// EngineCallerBed is a caller with a group of at least two members that serves.
type EngineCallerFixture struct {
	Caller  garnetworks.EngineCaller
	Address string
	// Unused is an address at which nothing listens.
	Unused string
	// Silence is at least the time after which the caller gives up a silent
	// connection.
	MaxStallTimeout time.Duration
	// Call returns a new call of MaxTokens tokens that the group serves, unlike
	// all others. Its answer has no token twice in a row by chance alone.
	NewCall func(maxTokens int) *garnetworks.EngineCall
	// Text returns the text of the call's tokens from first up to end.
	ResponseText func(call *garnetworks.EngineCall, first, end int) string
	// Running returns the number of calls that the engine works on; it may be
	// nil.
	RunningCalls func() int
	// LoseMember takes away a member other than the one that answers; it may be
	// nil.
	StopMember func()
	// Faults are those of the engine that answers; they may be nil.
	Faults FaultInjector
}

// EngineCaller checks a caller of engines.
func EngineCaller(t *testing.T, newFixture func(t *testing.T) EngineCallerFixture) {
	t.Helper()
	run(t, newFixture, EngineCallerCases())
}

// EngineCallerCases returns the contract of garnetworks.EngineCaller.
func EngineCallerCases() map[string]Case[EngineCallerFixture] {
	hasFaults := func(f EngineCallerFixture) bool { return f.Faults != nil }
	return map[string]Case[EngineCallerFixture]{
		"an answer is whole and its own": {
			Failure: "A tech gets part of an answer, or another tech's.",
			Run:     callerComplete,
		},
		"odd prompts survive": {
			Failure: "A prompt with line ends or foreign letters comes back as another one's answer.",
			Run:     callerUnusualPrompts,
		},
		"an answer resumes": {
			Failure: "A group dies in the middle; the caller gets words twice or not at all.",
			Run:     callerResumes,
		},
		"many answers at once stay apart": {
			Failure: "Under load one caller's words turn up in another's answer.",
			Run:     callerConcurrent,
		},
		"a call with an old token is refused": {
			Failure: "A router with an old view calls a group that was formed anew.",
			Run:     callerStaleToken,
		},
		"a group with a missing member refuses": {
			Failure:   "A member died; the group would answer slowly and wrongly.",
			Supported: func(f EngineCallerFixture) bool { return f.StopMember != nil },
			Run:       callerMissingMember,
		},
		"a member lost in the middle breaks the answer": {
			Failure:   "A member dies during an answer, which must not look whole.",
			Supported: func(f EngineCallerFixture) bool { return f.StopMember != nil },
			Run:       callerMemberLost,
		},
		"nobody listens": {
			Failure: "The instance is gone; the call has surely not run and may go elsewhere.",
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				_, err := f.Caller.Generate(ctx, f.Unused, f.NewCall(1))
				return wantPhase("generate", err, garnetworks.PhaseConnect)
			},
		},
		"a broken answer is never whole": {
			Failure:   "The engine dies in the middle and the caller takes the first half for the whole.",
			Supported: hasFaults,
			Run:       callerTruncated,
		},
		"a crossed answer is dropped": {
			Failure:   "Answers arrive crossed; no word of one caller's answer may reach another.",
			Supported: hasFaults,
			Run:       callerMismatched,
		},
		"an engine that dies in the middle is said": {
			Failure:   "The engine's process ends; the stream must end with an error, not with silence.",
			Supported: hasFaults,
			Run:       callerEngineStops,
		},
		"an engine that is unavailable refuses": {
			Failure:   "The engine proves that it did not begin the call; the call goes elsewhere at once.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Unavailable: true})
				_, err := f.Caller.Generate(ctx, f.Address, f.NewCall(1))
				return wantPhase("generate", err, garnetworks.PhaseRefused)
			},
		},
		"a lost answer may have run": {
			Failure:   "The engine began, and its answer got lost; nobody may say that the call did not run.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1})
				_, err := readResponse(ctx, f, f.NewCall(3))
				return wantPhase("answer", err, garnetworks.PhaseWait, garnetworks.PhaseHeaders, garnetworks.PhaseBody)
			},
		},
		"a late answer is whole": {
			Failure:   "An answer that comes late is still the caller's.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{LateAnswers: 1, LateBy: f.MaxStallTimeout / 4})
				return wantComplete(ctx, f, f.NewCall(3))
			},
		},
		"a silent connection is noticed": {
			Failure:   "What lies between forgets the connection in the middle of an answer; the tech's screen stands still for good.",
			Supported: hasFaults,
			Run:       callerStalled,
		},
		"a silent pooled connection is noticed": {
			Failure:   "The pooled connections have gone silent; each new call is written to one of them.",
			Supported: hasFaults,
			Run:       callerStalledPool,
		},
		"a frozen engine is noticed": {
			Failure:   "The engine pauses in the middle; the call must end and go elsewhere.",
			Supported: hasFaults,
			Run:       callerFrozen,
		},
		"closing cancels": {
			Failure:   "A caller hangs up and its answer goes on taking the group's time.",
			Supported: func(f EngineCallerFixture) bool { return f.RunningCalls != nil },
			Run:       callerCancels,
		},
		"the context ends the answer": {
			Failure: "A deadline passes and the node goes on reading.",
			Run:     callerContext,
		},
		"an error lasts": {
			Failure:   "After a broken answer the next read looks like its end.",
			Supported: hasFaults,
			Run:       callerErrorPersists,
		},
	}
}

// answer is what a caller has read.
type readResult struct {
	text   string
	tokens int
	end    garnetworks.Chunk
}

// readAll reads an answer up to its end marker.
func readResponse(ctx context.Context, f EngineCallerFixture, call *garnetworks.EngineCall) (readResult, error) {
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return readResult{}, err
	}
	defer stream.Close()
	return readStream(stream, call, -1)
}

// readStream reads up to limit chunks, or all if limit is below 0, and checks
// each.
func readStream(stream garnetworks.EngineStream, call *garnetworks.EngineCall, limit int) (readResult, error) {
	var a readResult
	var text strings.Builder
	var chunk garnetworks.Chunk
	for n := 0; n != limit && !chunk.End; n++ {
		if err := stream.Next(&chunk); err != nil {
			a.text = text.String()
			return a, err
		}
		if chunk.Attempt != call.Attempt || chunk.Index != call.ResumeFrom+a.tokens {
			return a, errors.Errorf("got chunk %+v as token %d of attempt %s", chunk, call.ResumeFrom+a.tokens, call.Attempt)
		}
		text.WriteString(chunk.Text)
		a.tokens += chunk.Tokens
	}
	a.text, a.end = text.String(), chunk
	return a, nil
}

func wantComplete(ctx context.Context, f EngineCallerFixture, call *garnetworks.EngineCall) error {
	a, err := readResponse(ctx, f, call)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	return firstError(
		func() error { return want("text", a.text, f.ResponseText(call, call.ResumeFrom, call.MaxTokens)) },
		func() error { return want("tokens", a.tokens, call.MaxTokens-call.ResumeFrom) },
		func() error { return want("end", a.end.End, true) },
		func() error { return want("finish reason", a.end.FinishReason, "length") },
	)
}

func callerComplete(ctx context.Context, f EngineCallerFixture) error {
	for range 3 {
		if err := wantComplete(ctx, f, f.NewCall(12)); err != nil {
			return err
		}
	}
	call := f.NewCall(2)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, -1); err != nil {
		return errors.Wrap(err, "answer")
	}
	var chunk garnetworks.Chunk
	if err := stream.Next(&chunk); err != io.EOF {
		return errors.Errorf("got error %v after the end, want io.EOF", err)
	}
	return nil
}

func callerUnusualPrompts(ctx context.Context, f EngineCallerFixture) error {
	for _, prompt := range []string{"a\nb", "a\r\nb\rc", "Größe 日本 \u2028", `"\`, "\x00", strings.Repeat("long ", 20000)} {
		call := f.NewCall(2)
		call.Prompt = prompt
		if err := wantComplete(ctx, f, call); err != nil {
			return errors.Wrapf(err, "prompt %.20q", prompt)
		}
	}
	return nil
}

func callerResumes(ctx context.Context, f EngineCallerFixture) error {
	for _, from := range []int{1, 5, 8} {
		call := f.NewCall(8)
		call.ResumeFrom = from
		call.Delivered = f.ResponseText(call, 0, from)
		if err := wantComplete(ctx, f, call); err != nil {
			return errors.Wrapf(err, "resumed from %d", from)
		}
	}
	return nil
}

func callerConcurrent(ctx context.Context, f EngineCallerFixture) error {
	const calls = 24
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		call := f.NewCall(6)
		wg.Go(func() { errs[i] = wantComplete(ctx, f, call) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func callerStaleToken(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(1)
	call.Token--
	_, err := f.Caller.Generate(ctx, f.Address, call)
	if err := wantPhase("old token", err, garnetworks.PhaseRefused); err != nil {
		return err
	}
	call = f.NewCall(1)
	call.Group = "another-group"
	_, err = f.Caller.Generate(ctx, f.Address, call)
	return wantPhase("other group", err, garnetworks.PhaseRefused)
}

func callerMissingMember(ctx context.Context, f EngineCallerFixture) error {
	f.StopMember()
	_, err := f.Caller.Generate(ctx, f.Address, f.NewCall(1))
	return wantPhase("generate", err, garnetworks.PhaseRefused)
}

func callerMemberLost(ctx context.Context, f EngineCallerFixture) error {
	return failMidStream(ctx, f, f.StopMember)
}

func callerEngineStops(ctx context.Context, f EngineCallerFixture) error {
	return failMidStream(ctx, f, func() { f.Faults.SetFaults(faker.FaultPlan{Down: true}) })
}

// manyTokens is more than any case waits for.
const manyTokens = 100_000

// breakOff reads some of a long answer, lets the failure happen, and wants the
// rest to end in an error.
func failMidStream(ctx context.Context, f EngineCallerFixture, fail func()) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "begin of the answer")
	}
	fail()
	var chunk garnetworks.Chunk
	for err == nil {
		err = stream.Next(&chunk)
	}
	return wantPhase("broken answer", err, garnetworks.PhaseBody)
}

func callerTruncated(ctx context.Context, f EngineCallerFixture) error {
	for after := range 4 {
		f.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: after})
		a, err := readResponse(ctx, f, f.NewCall(3))
		if err := wantPhase("truncated answer", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders); err != nil {
			return errors.Wrapf(err, "truncated after %d", after)
		}
		if err := want("end", a.end.End, false); err != nil {
			return err
		}
	}
	return nil
}

func callerMismatched(ctx context.Context, f EngineCallerFixture) error {
	for after := range 3 {
		f.Faults.SetFaults(faker.FaultPlan{CrossAnswers: 1, BreakAfter: after})
		call := f.NewCall(6)
		a, err := readResponse(ctx, f, call)
		if err := wantPhase("crossed answer", err, garnetworks.PhaseMismatched); err != nil {
			return errors.Wrapf(err, "crossed after %d", after)
		}
		if err := want("own tokens", a.text, f.ResponseText(call, 0, after)); err != nil {
			return err
		}
	}
	return nil
}

// wantSilent returns an error unless err says that silence ended the attempt.
func wantStalled(err error) error {
	var attempt *garnetworks.AttemptError
	if !errors.As(err, &attempt) || !attempt.Stalled {
		return errors.Errorf("got error %v, want a silent attempt", err)
	}
	return nil
}

// readUntilError reads on for as long as a silent connection may last.
func readUntilError(f EngineCallerFixture, stream garnetworks.EngineStream) error {
	ended := make(chan error, 1)
	go func() {
		var chunk garnetworks.Chunk
		for {
			if err := stream.Next(&chunk); err != nil {
				ended <- err
				return
			}
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(f.MaxStallTimeout + returnGrace):
		return errors.New("the read did not end")
	}
}

func callerStalled(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "begin of the answer")
	}
	f.Faults.SilenceOpen()
	if err := wantStalled(readUntilError(f, stream)); err != nil {
		return err
	}
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerStalledPool(ctx context.Context, f EngineCallerFixture) error {
	if err := callerConcurrent(ctx, f); err != nil {
		return err
	}
	f.Faults.SilenceOpen()
	a, err := readResponse(ctx, f, f.NewCall(3))
	if err != nil {
		if err := wantStalled(err); err != nil {
			return err
		}
	} else if err := want("end", a.end.End, true); err != nil {
		return err
	}
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerFrozen(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "begin of the answer")
	}
	f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
	if err := wantStalled(readUntilError(f, stream)); err != nil {
		return err
	}
	_, err = f.Caller.Generate(ctx, f.Address, f.NewCall(1))
	if err := wantPhase("call to a frozen engine", err, garnetworks.PhaseWait); err != nil {
		return err
	}
	f.Faults.SetFaults(faker.FaultPlan{})
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerCancels(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	if _, err := readStream(stream, call, 2); err != nil {
		_ = stream.Close()
		return errors.Wrap(err, "begin of the answer")
	}
	_ = stream.Close()
	return eventually(ctx, func() error { return want("running calls", f.RunningCalls(), 0) })
}

func callerContext(ctx context.Context, f EngineCallerFixture) error {
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := readResponse(ctx, f, f.NewCall(manyTokens))
		return err
	})
	return wantPhase("answer", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders)
}

func callerErrorPersists(ctx context.Context, f EngineCallerFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: 1})
	call := f.NewCall(3)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, -1); err == nil {
		return errors.New("the broken answer was whole")
	}
	var chunk garnetworks.Chunk
	return wantPhase("next read", stream.Next(&chunk), garnetworks.PhaseBody)
}
