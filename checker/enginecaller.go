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
type EngineCallerBed struct {
	Caller  garnetworks.EngineCaller
	Address string
	// Unused is an address at which nothing listens.
	Unused string
	// Silence is at least the time after which the caller gives up a silent
	// connection.
	Silence time.Duration
	// Call returns a new call of MaxTokens tokens that the group serves, unlike
	// all others. Its answer has no token twice in a row by chance alone.
	Call func(maxTokens int) *garnetworks.EngineCall
	// Text returns the text of the call's tokens from first up to end.
	Text func(call *garnetworks.EngineCall, first, end int) string
	// Running returns the number of calls that the engine works on; it may be
	// nil.
	Running func() int
	// LoseMember takes away a member other than the one that answers; it may be
	// nil.
	LoseMember func()
	// Faults are those of the engine that answers; they may be nil.
	Faults Faults
}

// EngineCaller checks a caller of engines.
func EngineCaller(t *testing.T, open func(t *testing.T) EngineCallerBed) {
	t.Helper()
	run(t, open, EngineCallerCases())
}

// EngineCallerCases returns the contract of garnetworks.EngineCaller.
func EngineCallerCases() map[string]Case[EngineCallerBed] {
	able := func(b EngineCallerBed) bool { return b.Faults != nil }
	return map[string]Case[EngineCallerBed]{
		"an answer is whole and its own": {
			Story: "A tech gets part of an answer, or another tech's.",
			Run:   callerWhole,
		},
		"odd prompts survive": {
			Story: "A prompt with line ends or foreign letters comes back as another one's answer.",
			Run:   callerOddPrompts,
		},
		"an answer resumes": {
			Story: "A group dies in the middle; the caller gets words twice or not at all.",
			Run:   callerResumes,
		},
		"many answers at once stay apart": {
			Story: "Under load one caller's words turn up in another's answer.",
			Run:   callerMany,
		},
		"a call with an old token is refused": {
			Story: "A router with an old view calls a group that was formed anew.",
			Run:   callerStale,
		},
		"a group with a missing member refuses": {
			Story: "A member died; the group would answer slowly and wrongly.",
			Able:  func(b EngineCallerBed) bool { return b.LoseMember != nil },
			Run:   callerMissingMember,
		},
		"a member lost in the middle breaks the answer": {
			Story: "A member dies during an answer, which must not look whole.",
			Able:  func(b EngineCallerBed) bool { return b.LoseMember != nil },
			Run:   callerLosesMember,
		},
		"nobody listens": {
			Story: "The instance is gone; the call has surely not run and may go elsewhere.",
			Run: func(ctx context.Context, b EngineCallerBed) error {
				_, err := b.Caller.Generate(ctx, b.Unused, b.Call(1))
				return wantPhase("generate", err, garnetworks.PhaseConnect)
			},
		},
		"a broken answer is never whole": {
			Story: "The engine dies in the middle and the caller takes the first half for the whole.",
			Able:  able,
			Run:   callerTruncated,
		},
		"a crossed answer is dropped": {
			Story: "Answers arrive crossed; no word of one caller's answer may reach another.",
			Able:  able,
			Run:   callerCrossed,
		},
		"an engine that dies in the middle is said": {
			Story: "The engine's process ends; the stream must end with an error, not with silence.",
			Able:  able,
			Run:   callerDies,
		},
		"an engine that is unavailable refuses": {
			Story: "The engine proves that it did not begin the call; the call goes elsewhere at once.",
			Able:  able,
			Run: func(ctx context.Context, b EngineCallerBed) error {
				b.Faults.SetFaults(faker.FaultPlan{Unavailable: true})
				_, err := b.Caller.Generate(ctx, b.Address, b.Call(1))
				return wantPhase("generate", err, garnetworks.PhaseRefused)
			},
		},
		"a lost answer may have run": {
			Story: "The engine began, and its answer got lost; nobody may say that the call did not run.",
			Able:  able,
			Run: func(ctx context.Context, b EngineCallerBed) error {
				b.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1})
				_, err := readAll(ctx, b, b.Call(3))
				return wantPhase("answer", err, garnetworks.PhaseWait, garnetworks.PhaseHeaders, garnetworks.PhaseBody)
			},
		},
		"a late answer is whole": {
			Story: "An answer that comes late is still the caller's.",
			Able:  able,
			Run: func(ctx context.Context, b EngineCallerBed) error {
				b.Faults.SetFaults(faker.FaultPlan{LateAnswers: 1, LateBy: b.Silence / 4})
				return wantWhole(ctx, b, b.Call(3))
			},
		},
		"a silent connection is noticed": {
			Story: "What lies between forgets the connection in the middle of an answer; the tech's screen stands still for good.",
			Able:  able,
			Run:   callerSilent,
		},
		"a silent pooled connection is noticed": {
			Story: "The pooled connections have gone silent; each new call is written to one of them.",
			Able:  able,
			Run:   callerSilentPool,
		},
		"a frozen engine is noticed": {
			Story: "The engine pauses in the middle; the call must end and go elsewhere.",
			Able:  able,
			Run:   callerFrozen,
		},
		"closing cancels": {
			Story: "A caller hangs up and its answer goes on taking the group's time.",
			Able:  func(b EngineCallerBed) bool { return b.Running != nil },
			Run:   callerCancels,
		},
		"the context ends the answer": {
			Story: "A deadline passes and the node goes on reading.",
			Run:   callerContext,
		},
		"an error lasts": {
			Story: "After a broken answer the next read looks like its end.",
			Able:  able,
			Run:   callerErrorLasts,
		},
	}
}

// answer is what a caller has read.
type answer struct {
	text   string
	tokens int
	end    garnetworks.Chunk
}

// readAll reads an answer up to its end marker.
func readAll(ctx context.Context, b EngineCallerBed, call *garnetworks.EngineCall) (answer, error) {
	stream, err := b.Caller.Generate(ctx, b.Address, call)
	if err != nil {
		return answer{}, err
	}
	defer stream.Close()
	return readStream(stream, call, -1)
}

// readStream reads up to limit chunks, or all if limit is below 0, and checks
// each.
func readStream(stream garnetworks.EngineStream, call *garnetworks.EngineCall, limit int) (answer, error) {
	var a answer
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

func wantWhole(ctx context.Context, b EngineCallerBed, call *garnetworks.EngineCall) error {
	a, err := readAll(ctx, b, call)
	if err != nil {
		return errors.Wrap(err, "answer")
	}
	return steps(
		func() error { return want("text", a.text, b.Text(call, call.ResumeFrom, call.MaxTokens)) },
		func() error { return want("tokens", a.tokens, call.MaxTokens-call.ResumeFrom) },
		func() error { return want("end", a.end.End, true) },
		func() error { return want("finish reason", a.end.FinishReason, "length") },
	)
}

func callerWhole(ctx context.Context, b EngineCallerBed) error {
	for range 3 {
		if err := wantWhole(ctx, b, b.Call(12)); err != nil {
			return err
		}
	}
	call := b.Call(2)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
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

func callerOddPrompts(ctx context.Context, b EngineCallerBed) error {
	for _, prompt := range []string{"a\nb", "a\r\nb\rc", "Größe 日本 \u2028", `"\`, "\x00", strings.Repeat("long ", 20000)} {
		call := b.Call(2)
		call.Prompt = prompt
		if err := wantWhole(ctx, b, call); err != nil {
			return errors.Wrapf(err, "prompt %.20q", prompt)
		}
	}
	return nil
}

func callerResumes(ctx context.Context, b EngineCallerBed) error {
	for _, from := range []int{1, 5, 8} {
		call := b.Call(8)
		call.ResumeFrom = from
		call.Delivered = b.Text(call, 0, from)
		if err := wantWhole(ctx, b, call); err != nil {
			return errors.Wrapf(err, "resumed from %d", from)
		}
	}
	return nil
}

func callerMany(ctx context.Context, b EngineCallerBed) error {
	const calls = 24
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		call := b.Call(6)
		wg.Go(func() { errs[i] = wantWhole(ctx, b, call) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func callerStale(ctx context.Context, b EngineCallerBed) error {
	call := b.Call(1)
	call.Token--
	_, err := b.Caller.Generate(ctx, b.Address, call)
	if err := wantPhase("old token", err, garnetworks.PhaseRefused); err != nil {
		return err
	}
	call = b.Call(1)
	call.Group = "another-group"
	_, err = b.Caller.Generate(ctx, b.Address, call)
	return wantPhase("other group", err, garnetworks.PhaseRefused)
}

func callerMissingMember(ctx context.Context, b EngineCallerBed) error {
	b.LoseMember()
	_, err := b.Caller.Generate(ctx, b.Address, b.Call(1))
	return wantPhase("generate", err, garnetworks.PhaseRefused)
}

func callerLosesMember(ctx context.Context, b EngineCallerBed) error {
	return breakOff(ctx, b, b.LoseMember)
}

func callerDies(ctx context.Context, b EngineCallerBed) error {
	return breakOff(ctx, b, func() { b.Faults.SetFaults(faker.FaultPlan{Down: true}) })
}

// manyTokens is more than any case waits for.
const manyTokens = 100_000

// breakOff reads some of a long answer, lets the failure happen, and wants the
// rest to end in an error.
func breakOff(ctx context.Context, b EngineCallerBed, fail func()) error {
	call := b.Call(manyTokens)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
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

func callerTruncated(ctx context.Context, b EngineCallerBed) error {
	for after := range 4 {
		b.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: after})
		a, err := readAll(ctx, b, b.Call(3))
		if err := wantPhase("truncated answer", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders); err != nil {
			return errors.Wrapf(err, "truncated after %d", after)
		}
		if err := want("end", a.end.End, false); err != nil {
			return err
		}
	}
	return nil
}

func callerCrossed(ctx context.Context, b EngineCallerBed) error {
	for after := range 3 {
		b.Faults.SetFaults(faker.FaultPlan{CrossAnswers: 1, BreakAfter: after})
		call := b.Call(6)
		a, err := readAll(ctx, b, call)
		if err := wantPhase("crossed answer", err, garnetworks.PhaseMismatched); err != nil {
			return errors.Wrapf(err, "crossed after %d", after)
		}
		if err := want("own tokens", a.text, b.Text(call, 0, after)); err != nil {
			return err
		}
	}
	return nil
}

// wantSilent returns an error unless err says that silence ended the attempt.
func wantSilent(err error) error {
	var attempt *garnetworks.AttemptError
	if !errors.As(err, &attempt) || !attempt.Stalled {
		return errors.Errorf("got error %v, want a silent attempt", err)
	}
	return nil
}

// readUntilError reads on for as long as a silent connection may last.
func readUntilError(b EngineCallerBed, stream garnetworks.EngineStream) error {
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
	case <-time.After(b.Silence + within):
		return errors.New("the read did not end")
	}
}

func callerSilent(ctx context.Context, b EngineCallerBed) error {
	call := b.Call(manyTokens)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "begin of the answer")
	}
	b.Faults.SilenceOpen()
	if err := wantSilent(readUntilError(b, stream)); err != nil {
		return err
	}
	return wantWhole(ctx, b, b.Call(3))
}

func callerSilentPool(ctx context.Context, b EngineCallerBed) error {
	if err := callerMany(ctx, b); err != nil {
		return err
	}
	b.Faults.SilenceOpen()
	a, err := readAll(ctx, b, b.Call(3))
	if err != nil {
		if err := wantSilent(err); err != nil {
			return err
		}
	} else if err := want("end", a.end.End, true); err != nil {
		return err
	}
	return wantWhole(ctx, b, b.Call(3))
}

func callerFrozen(ctx context.Context, b EngineCallerBed) error {
	call := b.Call(manyTokens)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "begin of the answer")
	}
	b.Faults.SetFaults(faker.FaultPlan{Frozen: true})
	if err := wantSilent(readUntilError(b, stream)); err != nil {
		return err
	}
	_, err = b.Caller.Generate(ctx, b.Address, b.Call(1))
	if err := wantPhase("call to a frozen engine", err, garnetworks.PhaseWait); err != nil {
		return err
	}
	b.Faults.SetFaults(faker.FaultPlan{})
	return wantWhole(ctx, b, b.Call(3))
}

func callerCancels(ctx context.Context, b EngineCallerBed) error {
	call := b.Call(manyTokens)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	if _, err := readStream(stream, call, 2); err != nil {
		_ = stream.Close()
		return errors.Wrap(err, "begin of the answer")
	}
	_ = stream.Close()
	return eventually(ctx, func() error { return want("running calls", b.Running(), 0) })
}

func callerContext(ctx context.Context, b EngineCallerBed) error {
	err := promptly(ctx, shortWait, func(ctx context.Context) error {
		_, err := readAll(ctx, b, b.Call(manyTokens))
		return err
	})
	return wantPhase("answer", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders)
}

func callerErrorLasts(ctx context.Context, b EngineCallerBed) error {
	b.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: 1})
	call := b.Call(3)
	stream, err := b.Caller.Generate(ctx, b.Address, call)
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
