package checker

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// breakOffStep is the number of bytes between two places at which requests break off.
const breakOffStep = 3

// BreakOffs describes requests that break off.
type BreakOffs struct {
	// Body is the body of each request, Answer the text of the answer to a whole one.
	Body, Answer string
	// Bytes is more than the bytes of a request.
	Bytes int
	// Unsent are the phases of an attempt that say that it did not run.
	Unsent []garnetworks.CallPhase
	// NewSender returns a function that sends a request to the address, over a connection that it keeps.
	NewSender func(t *testing.T, address string) func() error
}

// Run breaks requests off after any few bytes, on new and on kept connections, with an end and with
// a reset. One that was received whole must be sent once and must not count as unsent.
func (c BreakOffs) Run(t *testing.T) {
	t.Helper()
	for _, kept := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("kept %t, reset %t", kept, reset), func(t *testing.T) { c.run(t, kept, reset) })
		}
	}
}

func (c BreakOffs) run(t *testing.T, kept, reset bool) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b := impersonator.NewBreaker(listener, c.Body, c.Answer)
	whole := 0
	for after := 1; after <= c.Bytes; after += breakOffStep {
		send := c.NewSender(t, listener.Addr().String())
		if kept {
			if err := send(); err != nil {
				t.Fatal(err)
			}
		}
		b.Arm(after, reset)
		var failure *garnetworks.AttemptError
		if err := send(); !errors.As(err, &failure) {
			t.Fatalf("broken off after %d bytes: %v", after, err)
		}
		if n := b.Whole(); n > 1 || n == 1 && slices.Contains(c.Unsent, failure.Phase) {
			t.Errorf("broken off after %d bytes: received whole %d times, phase %s", after, n, failure.Phase)
		}
		whole += b.Whole()
	}
	if whole == 0 {
		t.Error("no request was received whole")
	}
}
