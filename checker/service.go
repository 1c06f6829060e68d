package checker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// ServiceCallerFixture holds a service caller and one server of a plain service.
type ServiceCallerFixture struct {
	Caller  garnetworks.ServiceCaller
	Address string
	// Unused is an address at which nothing listens.
	Unused string
	// Executions returns how many times the server has run the call.
	Executions func(id garnetworks.CallID) int
	// SetLeaving makes the server refuse new calls, or accept them again.
	SetLeaving func(leaving bool)
	// DropConnections closes the server's open connections; it may be nil.
	DropConnections func()
	Faults          FaultInjector
}

// ServiceCaller runs the contract suite of garnetworks.ServiceCaller.
func ServiceCaller(t *testing.T, newFixture func(t *testing.T) ServiceCallerFixture) {
	t.Helper()
	Run(t, newFixture, ServiceCallerCases())
}

// ServiceCallerCases returns the cases of the garnetworks.ServiceCaller contract.
func ServiceCallerCases() map[string]Case[ServiceCallerFixture] {
	return map[string]Case[ServiceCallerFixture]{
		"a call runs once and its response arrives": {
			Failure: "The server receives a call without its path or idempotency key, or runs it twice.",
			Run:     serviceResponds,
		},
		"every method works with and without a body": {
			Failure: "The transport repeats a call without a body, or does not send it at all.",
			Run:     serviceMethods,
		},
		"no listener": {
			Failure: "The server is gone, but the caller is not told that the call did not run and may be sent elsewhere.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				_, err := f.Caller.Call(ctx, f.Unused, serviceCall("c1"))
				return wantPhase("call", err, garnetworks.PhaseConnect)
			},
		},
		"a leaving server refuses": {
			Failure: "A server that is leaving proves that it did not start the call, but the call is not sent elsewhere.",
			Run:     serviceRefuses,
		},
		"a call with a lost response may have run": {
			Failure: "A booking is executed and its response lost; reported as not run, it would be executed again.",
			Run:     serviceResponseLost,
		},
		"a call with a truncated response may have run": {
			Failure: "A partial response looks complete.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1})
				_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
				if err := wantPhase("call", err, garnetworks.PhaseBody); err != nil {
					return err
				}
				return want("executions", f.Executions("c1"), 1)
			},
		},
		"a mismatched response is dropped": {
			Failure: "A workspace receives the response to another workspace's call.",
			Run:     serviceMismatched,
		},
		"a call with a late response may have run": {
			Timed:   true,
			Failure: "The deadline passes while the server works, and the call is reported as not run.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{LateAnswers: 1, LateBy: time.Minute})
				err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
					_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
					return err
				})
				return wantPhase("call", err, garnetworks.PhaseWait, garnetworks.PhaseHeaders)
			},
		},
		"a server that is down is never a refusal": {
			Failure: "A connection reset is taken for a refusal, although it does not prove that the server did not start the call.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Down: true})
				_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
				err = wantPhase("call", err, garnetworks.PhaseConnect, garnetworks.PhaseWrite, garnetworks.PhaseWait)
				if err != nil {
					return err
				}
				return want("executions", f.Executions("c1"), 0)
			},
		},
		"a frozen server blocks no call beyond its context": {
			Timed:   true,
			Failure: "The server pauses, and the caller waits forever.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
				err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
					_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
					return err
				})
				return wantPhase("call", err, garnetworks.PhaseWait)
			},
		},
		"broken pooled connections never repeat a call": {
			Failure:   "A pooled connection breaks while a call is written to it; the transport repeats the call, and it runs twice.",
			Supported: func(f ServiceCallerFixture) bool { return f.DropConnections != nil },
			Run:       serviceNeverRepeats,
		},
		"stalled connections are not written to": {
			Timed:   true,
			Failure: "The pooled connections have stalled; a call written to one is lost with an unknown outcome although a new connection would have worked.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				if _, err := f.Caller.Call(ctx, f.Address, serviceCall("c1")); err != nil {
					return errors.Wrap(err, "first call")
				}
				f.Faults.SilenceOpen()
				return callWithTimeout(ctx, longTimeout, func(ctx context.Context) error {
					_, err := f.Caller.Call(ctx, f.Address, serviceCall("c2"))
					return errors.Wrap(err, "second call")
				})
			},
		},
		"an invalid path is not sent": {
			Failure: "A path without its leading slash is read as part of the host name.",
			Run: func(ctx context.Context, f ServiceCallerFixture) error {
				for _, path := range []string{"", "visits", "@127.0.0.1/visits", "/a\nb"} {
					call := serviceCall("c1")
					call.Path = path
					_, err := f.Caller.Call(ctx, f.Address, call)
					if err := wantPhase(fmt.Sprintf("path %q", path), err, garnetworks.PhaseConnect); err != nil {
						return err
					}
				}
				return want("executions", f.Executions("c1"), 0)
			},
		},
	}
}

func serviceCall(id garnetworks.CallID) *garnetworks.ServiceCall {
	return &garnetworks.ServiceCall{
		ID:          id,
		Workspace:   "office",
		Service:     "ledger",
		Method:      http.MethodPost,
		Path:        "/visits?site=1",
		ContentType: "application/json",
		Body:        []byte(`{"visit":1}`),
	}
}

func serviceResponds(ctx context.Context, f ServiceCallerFixture) error {
	call := serviceCall("c1")
	call.IdempotencyKey = "key-1"
	a, err := f.Caller.Call(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "call")
	}
	return firstError(
		func() error { return want("identifier", a.ID, call.ID) },
		func() error { return want("status", a.Status, http.StatusOK) },
		func() error { return want("has a body", len(a.Body) > 0, true) },
		func() error { return want("body contains the path", strings.Contains(string(a.Body), call.Path), true) },
		func() error {
			return want("body contains the idempotency key", strings.Contains(string(a.Body), call.IdempotencyKey), true)
		},
		func() error { return want("executions", f.Executions(call.ID), 1) },
	)
}

func serviceMethods(ctx context.Context, f ServiceCallerFixture) error {
	bodies := map[string][]byte{"no body": nil, "small": []byte("x"), "large": make([]byte, 1<<20)}
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete} {
		for name, body := range bodies {
			call := serviceCall(garnetworks.CallID(method + "-" + strings.ReplaceAll(name, " ", "-")))
			call.Method, call.Body = method, body
			if _, err := f.Caller.Call(ctx, f.Address, call); err != nil {
				return errors.Wrapf(err, "%s with %s", method, name)
			}
			if err := want("executions of "+string(call.ID), f.Executions(call.ID), 1); err != nil {
				return err
			}
		}
	}
	return nil
}

func serviceRefuses(ctx context.Context, f ServiceCallerFixture) error {
	f.SetLeaving(true)
	_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
	if err := wantPhase("call", err, garnetworks.PhaseRefused); err != nil {
		return err
	}
	if err := want("executions", f.Executions("c1"), 0); err != nil {
		return err
	}
	f.SetLeaving(false)
	_, err = f.Caller.Call(ctx, f.Address, serviceCall("c2"))
	return errors.Wrap(err, "call afterwards")
}

func serviceResponseLost(ctx context.Context, f ServiceCallerFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1})
	_, err := f.Caller.Call(ctx, f.Address, serviceCall("c1"))
	if err := wantPhase("call", err, garnetworks.PhaseWait, garnetworks.PhaseHeaders); err != nil {
		return err
	}
	return want("executions", f.Executions("c1"), 1)
}

func serviceMismatched(ctx context.Context, f ServiceCallerFixture) error {
	if _, err := f.Caller.Call(ctx, f.Address, serviceCall("c1")); err != nil {
		return errors.Wrap(err, "first call")
	}
	f.Faults.SetFaults(faker.FaultPlan{CrossAnswers: 1})
	a, err := f.Caller.Call(ctx, f.Address, serviceCall("c2"))
	if err := wantPhase("mismatched response", err, garnetworks.PhaseMismatched); err != nil {
		return err
	}
	return want("body", len(a.Body), 0)
}

func serviceNeverRepeats(ctx context.Context, f ServiceCallerFixture) error {
	const calls = 40
	for i := range calls {
		call := serviceCall(garnetworks.CallID(fmt.Sprintf("c%d", i)))
		call.IdempotencyKey = string(call.ID)
		if i%4 == 3 {
			call.Body = nil
		}
		f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: i % 2})
		_, err := f.Caller.Call(ctx, f.Address, call)
		if runs := f.Executions(call.ID); runs > 1 || (err == nil && runs != 1) {
			return errors.Errorf("call %d ran %d times and ended with error %v", i, runs, err)
		}
		if i%5 == 0 {
			f.DropConnections()
		}
	}
	return nil
}
