// Package checker holds a contract suite for each interface of the root package that adapters
// implement. A suite is a table of named cases. Each case gets a new fixture, which holds an
// implementation and the means to provoke the failure under test, and returns an error if the
// implementation breaks its contract. One call runs a suite:
//
//	checker.ObjectAPI(t, func(t *testing.T) checker.ObjectAPIFixture { … })
//
// Rules of the suites:
//
//	K1  A case relies on the interface's contract alone, never on how an
//	    implementation fails within it. Where the contract allows two error
//	    kinds, both pass, and the case checks what each of them claims.
//	K2  A fixture that cannot provoke a failure leaves the field for it nil;
//	    the case is then skipped and the skip says so.
//	K3  Each case must be shown to detect a defect: the package's tests run the
//	    suites on implementations with injected defects and name the cases
//	    that must fail.
package checker

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// Case checks one clause of a contract.
type Case[B any] struct {
	// Failure describes what goes wrong for a user of the interface if the clause is broken.
	Failure string
	// Timed says that the case waits for a timeout or has a margin: on the real clock, the load of the
	// machine may decide over it.
	Timed bool
	// Supported reports whether the fixture supports the case; nil means always.
	Supported func(fixture B) bool
	// Run returns an error if the clause is broken.
	Run func(ctx context.Context, fixture B) error
}

// FaultInjector injects faults into the service behind the implementation under test.
type FaultInjector interface {
	SetFaults(plan faker.FaultPlan)
	// SilenceOpen makes the connections and calls that are open now stall; new ones work.
	SilenceOpen()
}

// Time limits of one case, so that a call that never returns fails only its own case. Failures
// uses brokenTimeout, because it expects cases to fail.
const (
	caseTimeout   = 10 * time.Second
	brokenTimeout = 3 * time.Second
)

// Run runs the cases as parallel subtests, each with its own fixture.
func Run[B any](t *testing.T, newFixture func(*testing.T) B, cases map[string]Case[B]) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.check(t, newFixture)
		})
	}
}

// RunInBubbles runs the cases as Run does, each in a bubble of testing/synctest: its time doesn't
// depend on the load of the machine. The fixtures must not use real connections.
func RunInBubbles[B any](t *testing.T, newFixture func(*testing.T) B, cases map[string]Case[B]) {
	t.Helper()
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		c := cases[name]
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { c.check(t, newFixture) })
		})
	}
}

// Untimed returns the cases that are not timed.
func Untimed[B any](cases map[string]Case[B]) map[string]Case[B] {
	untimed := maps.Clone(cases)
	maps.DeleteFunc(untimed, func(_ string, c Case[B]) bool { return c.Timed })
	return untimed
}

// check runs the case with a new fixture.
func (c Case[B]) check(t *testing.T, newFixture func(*testing.T) B) {
	t.Helper()
	fixture := newFixture(t)
	if c.Supported != nil && !c.Supported(fixture) {
		t.Skip("the fixture does not support this case") // rule K2
	}
	if err := c.runWithTimeout(t.Context(), fixture, caseTimeout); err != nil {
		t.Errorf("%v\nguards against: %s", err, c.Failure)
	}
}

// runWithTimeout runs the case and returns an error if it does not return in time.
func (c Case[B]) runWithTimeout(ctx context.Context, fixture B, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx, fixture) }()
	select {
	case err := <-done:
		return err
	case <-time.After(timeout + returnGrace):
		return errors.New("the case did not return")
	}
}

// Failures runs the cases and returns the names of those that fail, in sorted order. Tests use
// it to show that a suite detects a broken implementation (rule K3).
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

// wantKind returns an error unless err is of one of the kinds. Several kinds are given where
// the contract allows any of them (rule K1).
func wantKind(what string, err error, kinds ...garnetworks.Kind) error {
	if garnetworks.IsKind(err, kinds...) {
		return nil
	}
	return errors.Errorf("%s: got error %v, want one of kind %v", what, err, kinds)
}

// wantPhase returns an error unless err is an AttemptError in one of the phases.
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

// firstError runs the checks in order and returns the first error.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

const (
	// returnGrace is how long a call may take to return after its context has ended.
	returnGrace = 2 * time.Second
	// shortTimeout is the timeout of contexts that are expected to expire. Some cases need the
	// call to have started by then, also on a busy machine.
	shortTimeout = 500 * time.Millisecond
	// longTimeout is the timeout of contexts that are not expected to expire.
	longTimeout = 5 * time.Second
)

// callWithTimeout calls f with a context that ends after timeout. It returns an error if f does
// not return within returnGrace after that.
func callWithTimeout(ctx context.Context, timeout time.Duration, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return err
	case <-time.After(timeout + returnGrace):
		return errors.New("the call did not return after its context ended")
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
