package launcher_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against streams with neither a length nor chunks passing as whole when they were broken off.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	cases := map[string]struct {
		fault impersonator.BackendFaults
		whole bool
	}{
		"whole":                 {impersonator.BackendFaults{Unframed: true}, true},
		"ended inside an event": {impersonator.BackendFaults{Unframed: true, BreakAfter: 2}, false},
		"headers alone":         {impersonator.BackendFaults{Unframed: true, EndAfter: -1}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 9)
			s.awaitSuccess(streamURL)
			for _, e := range s.engines {
				e.UpdateFaults(func(f *impersonator.BackendFaults) { *f = c.fault })
			}
			const calls = 10
			for range calls {
				a := s.call(http.MethodPost, streamURL, nil)
				looksWhole := a.status == http.StatusOK && a.err == nil
				if looksWhole != c.whole || looksWhole && a.body != streamBody(s.engines[0].Events) {
					t.Errorf("a call got %+v", a)
				}
			}
		})
	}
}

// Guards against answers of a model's engine passing as whole that a reset cut off beside the call, or malformed ones.
func TestBrokenStreamsOfEnginesAreNotPassedOnAsWhole(t *testing.T) {
	const (
		idPlace = "{id}"
		fields  = "Content-Type: text/event-stream\r\nGarnetworks-Request-Id: " + idPlace + "\r\nGarnetworks-Response-Stamp: s\r\n"
		events  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		head    = "HTTP/1.1 200 OK\r\n" + fields
		long    = 4 << 20
	)
	cases := map[string]struct {
		answer impersonator.RawAnswer
		body   int
		whole  bool
	}{
		"reset beside the call":          {impersonator.RawAnswer{Text: head + "\r\n" + events, End: impersonator.RawReset}, long, false},
		"reset later":                    {impersonator.RawAnswer{Text: head + "\r\n" + events, End: impersonator.RawReset, Delay: 5 * time.Millisecond}, long, false},
		"orderly close beside the call":  {impersonator.RawAnswer{Text: head + "\r\n" + events, End: impersonator.RawCloseRead}, long, true},
		"orderly close, then a reset":    {impersonator.RawAnswer{Text: head + "\r\n" + events, End: impersonator.RawCloseReset}, long, true},
		"orderly close":                  {impersonator.RawAnswer{Text: head + "\r\n" + events, End: impersonator.RawReadClose}, 0, true},
		"status 000":                     {impersonator.RawAnswer{Text: "HTTP/1.1 000 X\r\n" + fields + "\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"status 999":                     {impersonator.RawAnswer{Text: "HTTP/1.1 999 X\r\n" + fields + "\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"a space in a name":              {impersonator.RawAnswer{Text: head + "X Name: v\r\n\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"a space before a name":          {impersonator.RawAnswer{Text: head + " X-Name: v\r\n\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"a control character in a name":  {impersonator.RawAnswer{Text: head + "X\x07Name: v\r\n\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"a space in the length's name":   {impersonator.RawAnswer{Text: head + "Content-Length : 16\r\n\r\n" + events, End: impersonator.RawReadClose}, 0, false},
		"a space in the encoding's name": {impersonator.RawAnswer{Text: head + "Transfer-Encoding : chunked\r\n\r\n1f\r\n" + events + "\r\n0\r\n\r\n", End: impersonator.RawReadClose}, 0, false},
	}
	s := newSite(t, 9)
	operators := config(2, key)
	operators["limits"].(map[string]any)["max-body-bytes"] = long
	s.store.Set("config", "main", operators)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for _, e := range s.engines {
				e.UpdateFaults(func(f *impersonator.BackendFaults) { *f = impersonator.BackendFaults{} })
			}
			s.awaitSuccess(streamURL)
			for _, e := range s.engines {
				e.UpdateFaults(func(f *impersonator.BackendFaults) {
					f.Raw = func(id string) impersonator.RawAnswer {
						answer := c.answer
						answer.Text = strings.Replace(answer.Text, idPlace, id, 1)
						return answer
					}
				})
			}
			const calls = 4
			for range calls {
				a := s.call(http.MethodPost, streamURL, func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", c.body))), int64(c.body)
				})
				looksWhole := a.status == http.StatusOK && a.err == nil
				failed := a.err != nil || a.status >= http.StatusInternalServerError && a.status < 600
				if looksWhole != c.whole || looksWhole && a.body != events || !c.whole && !failed {
					t.Errorf("a call got status %d, %q, %v", a.status, a.body, a.err)
				}
			}
		})
	}
}
