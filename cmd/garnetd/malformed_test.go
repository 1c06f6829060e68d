package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against a malformed answer that reaches the client, with invalid fields or a body that is not the server's.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	const idPlace = "{id}"
	malformed := checker.MalformedAnswers{
		Fields: "Content-Type: text/event-stream\r\nGarnetworks-Request-Id: " + idPlace + "\r\nGarnetworks-Response-Stamp: s\r\n",
		Body:   "id: 1\ndata: a\n\n",
		Names:  []string{"Garnetworks-Request-Id", "Garnetworks-Response-Stamp", "Garnetworks-Not-Run"},
	}
	s, answerWith := newScriptedSite(t)
	reused := 0
	for name, text := range malformed.Answers() {
		t.Run(name, func(t *testing.T) {
			answerWith(func(id string, number int) impersonator.RawAnswer {
				if number > 1 {
					reused++
				}
				return impersonator.RawAnswer{Text: strings.ReplaceAll(text, idPlace, id), End: impersonator.RawReadClose}
			})
			defer answerWith(nil)
			for _, kind := range []string{rawUnsafe, rawSafe, rawStream} {
				for _, kept := range []bool{false, true} {
					if kept {
						s.request(t, kind, warmUp)
					}
					got := s.request(t, kind, fmt.Sprintf("m-%s-%t", kind, kept))
					switch {
					case got.status == http.StatusOK || got.stamped:
						t.Errorf("%s, kept %t: answered %d with %q for %q", kind, kept, got.status, got.body, text)
					case got.status == http.StatusServiceUnavailable:
						t.Errorf("%s, kept %t: status %d promises that the request did not run", kind, kept, got.status)
					}
				}
			}
		})
	}
	if reused == 0 {
		t.Error("no request was sent on a kept connection")
	}
}
