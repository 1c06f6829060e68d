// Package checker holds one contract suite for each interface of the root
// package. A suite is a table of cases by name; each case opens a bed (an
// implementation with whatever the case needs to bring its failure about) and
// returns an error if the contract is broken. An implementation is checked by
// one call:
//
//	checker.ObjectAPI(t, func(t *testing.T) checker.ObjectAPIBed { … })
//
// Rules of the suites:
//
//	K1  A case relies on the interface's contract alone, never on how an
//	    implementation fails inside its freedom: where the contract allows two
//	    kinds, both pass, and the case checks what each of them claims.
//	K2  A bed that can't bring a failure about leaves the field for it nil; the
//	    case is then skipped and says so.
//	K3  Each case must have bitten: the package's own test runs the suites on
//	    implementations that are broken on purpose and names the cases that
//	    must fail.
package checker

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// Case is one clause of a contract.
type Case[B any] struct {
	// Story says what would go wrong for a user of the interface.
	Failure string
	// Able reports whether the bed can bring the case about; nil means always.
	Supported func(fixture B) bool
	// Run returns an error if the clause is broken.
	Run func(ctx context.Context, fixture B) error
}

// Faults brings failures about in whatever the implementation talks to.
type FaultInjector interface {
	SetFaults(plan faker.FaultPlan)
	SilenceOpen()
}

// Bounds of one case, so that a call that never returns fails its case and not
// the whole run. Failures expects cases to fail and waits less for it.
const (
	caseTimeout   = 10 * time.Second
	brokenTimeout = 3 * time.Second
)

// run runs the cases as subtests, each on a bed of its own.
func run[B any](t *testing.T, newFixture func(*testing.T) B, cases map[string]Case[B]) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fixture := newFixture(t)
			if c.Supported != nil && !c.Supported(fixture) {
				t.Skip("the bed can't bring this about") // rule K2
			}
			if err := c.runWithTimeout(t.Context(), fixture, caseTimeout); err != nil {
				t.Errorf("%v\nstory: %s", err, c.Failure)
			}
		})
	}
}

// attempt runs the case and turns a call that never returns into an error.
func (c Case[B]) runWithTimeout(ctx context.Context, fixture B, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx, fixture) }()
	select {
	case err := <-done:
		return err
	case <-time.After(timeout + returnGrace):
		return errors.New("the case did not end")
	}
}

// Failures runs the cases and returns the names of those that fail, in order.
// It is for showing that a suite notices a broken implementation (rule K3).
func Failures[B any](t *testing.T, newFixture func(*testing.T) B, cases map[string]Case[B]) []string {
	t.Helper()
	var failed []string
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		fixture := newFixture(t)
		if c.Supported != nil && !c.Supported(fixture) {
			continue
		}
		if c.runWithTimeout(t.Context(), fixture, brokenTimeout) != nil {
			failed = append(failed, name)
		}
	}
	return failed
}

// wantKind returns an error unless err is of one of the kinds, where the contract
// leaves the choice (rule K1).
func wantKind(what string, err error, kinds ...garnetworks.Kind) error {
	if garnetworks.IsKind(err, kinds...) {
		return nil
	}
	return errors.Errorf("%s: got error %v, want one of kind %v", what, err, kinds)
}

// wantPhase returns an error unless err is an AttemptError in one of the
// phases.
func wantPhase(what string, err error, phases ...garnetworks.CallPhase) error {
	var attempt *garnetworks.AttemptError
	if !errors.As(err, &attempt) {
		return errors.Errorf("%s: got error %v, want an AttemptError", what, err)
	}
	if !slices.Contains(phases, attempt.Phase) {
		return errors.Errorf("%s: got %v, want phase %v", what, err, phases)
	}
	return nil
}

// want returns an error unless got equals wanted.
func want[T comparable](what string, got, wanted T) error {
	if got != wanted {
		return errors.Errorf("%s: got %v, want %v", what, got, wanted)
	}
	return nil
}

// steps runs checks in order up to the first error.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// within bounds how much longer than its context a call may take.
	returnGrace = 2 * time.Second
	// shortWait is the timeout of contexts that are to end. It is far above the
	// pauses of a busy machine, because some cases want a call to have begun.
	shortTimeout = 500 * time.Millisecond
	// longWait is the timeout of contexts that are not to end.
	longTimeout = 5 * time.Second
)

// promptly runs f with a context of the given timeout and fails if f takes much
// longer than that.
func callWithTimeout(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return err
	case <-time.After(timeout + returnGrace):
		return errors.New("the call outlived its context")
	}
}

// eventually retries check until it passes or ctx ends.
func eventually(ctx context.Context, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(5 * time.Millisecond):
		}
	}
}
