package carrier

import (
	"io"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
)

// Guards against a call that a node received whole and that counts as unsent or is sent again.
func TestCallThatBreaksOffAnywhereIsNotUnsent(t *testing.T) {
	const (
		body = "the end of the body"
		head = "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Call: 1\r\nContent-Length: 19\r\n\r\n"
	)
	checker.BreakOffs{
		Body: body, Answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Bytes: 220,
		Unsent: []garnetworks.CallPhase{garnetworks.PhaseConnect},
		NewSender: func(t *testing.T, address string) func() error {
			c := NewClient()
			t.Cleanup(c.Close)
			return func() error {
				response, err := c.Delegate(t.Context(), address, received(t, head, body))
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, response.Body)
				return response.Body.Close()
			}
		},
	}.Run(t)
}
