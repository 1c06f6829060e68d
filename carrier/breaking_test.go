package carrier

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against a call that a node received whole and that counts as unsent or is sent again.
func TestCallThatBreaksOffAnywhereIsNotUnsent(t *testing.T) {
	const (
		body = "the end of the body"
		head = "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Call: 1\r\nContent-Length: 19\r\n\r\n"
		most = 220 // more bytes than the request has
	)
	for _, kept := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("kept %t, reset %t", kept, reset), func(t *testing.T) {
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer listener.Close()
				b := impersonator.NewBreaker(listener, body, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				whole := 0
				for after := 1; after <= most; after += 3 {
					c := NewClient()
					if kept {
						response, err := c.Delegate(t.Context(), listener.Addr().String(), received(t, head, body))
						if err != nil {
							t.Fatal(err)
						}
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
					b.Arm(after, reset)
					_, err := c.Delegate(t.Context(), listener.Addr().String(), received(t, head, body))
					var failure *garnetworks.AttemptError
					if !errors.As(err, &failure) {
						t.Fatalf("broken off after %d bytes: %v", after, err)
					}
					if n := b.Whole(); n > 1 || n == 1 && failure.Phase == garnetworks.PhaseConnect {
						t.Errorf("broken off after %d bytes: received whole %d times, phase %s", after, n, failure.Phase)
					}
					whole += b.Whole()
					c.Close()
				}
				if whole == 0 {
					t.Error("no request was received whole")
				}
			})
		}
	}
}
