package carrier

import (
	"io"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/checker"
)

// Guards against another node's answer that counts as whole though a reset cut it off beside the call.
func TestAnswersBesideLongCallsAreNotCutOff(t *testing.T) {
	checker.EarlyAnswers{
		Prefix: int64(len(Prefix)),
		Whole:  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart", Unframed: "HTTP/1.1 200 OK\r\n\r\npart", AcceptsUnframed: true, MayLoseUnframed: true,
		NewSender: delegate(strings.Repeat("b", 4<<20)),
	}.Run(t)
}

// delegate returns what sends calls with a body to a node and reads each answer to its end.
func delegate(body string) func(t *testing.T, address string) func() error {
	const head = "POST /x HTTP/1.1\r\nHost: a.example\r\nX-Call: 1\r\n\r\n"
	return func(t *testing.T, address string) func() error {
		c := NewClient()
		t.Cleanup(c.Close)
		return func() error {
			response, err := c.Delegate(t.Context(), address, received(t, head, body))
			if err != nil {
				return err
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}
	}
}

// Guards against a malformed answer of another node that is accepted.
func TestMalformedAnswersAreNotTaken(t *testing.T) {
	checker.MalformedAnswers{
		Prefix: int64(len(Prefix)), Body: "answer", Names: []string{headerUntaken}, Unfolds: true, NewSender: delegate("short"),
	}.Run(t)
}
