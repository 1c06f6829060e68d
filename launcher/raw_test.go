package launcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendRaw sends bytes on a separate connection and returns the responses' statuses.
func (s *site) sendRaw(text string) []int {
	s.t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	const timeout = 30 * time.Second
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		s.t.Fatal(err)
	}
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	var statuses []int
	reader := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
		if response.Close {
			return statuses
		}
	}
}

// rawHead returns the head of a raw call to the service whose calls may run only once.
func rawHead(id, more string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nGarnetworks-Request-Id: %s\r\nAuthorization: Token %s\r\nConnection: close\r\n%s", onceURL, host, id, key, more)
}

// Guards against request smuggling: a second request hidden by two lengths or in the body
// would run as a separate call.
func TestMalformedFramingRunsNoOtherCall(t *testing.T) {
	const hidden = "POST /once/hidden HTTP/1.1\r\nHost: a.example\r\nGarnetworks-Request-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		text string
		want int
		// body is what the server receives; the call must not run if it is empty.
		body string
	}{
		"a request as body":      {rawHead("a", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(hidden), hidden)), http.StatusOK, hidden},
		"two lengths":            {rawHead("b", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), http.StatusBadRequest, ""},
		"chunks":                 {rawHead("c", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"), http.StatusOK, "abcde"},
		"an unknown coding":      {rawHead("d", "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), http.StatusNotImplemented, ""},
		"a broken chunk":         {rawHead("e", "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n"), http.StatusBadRequest, ""},
		"two identifiers":        {rawHead("f", "Garnetworks-Request-Id: g\r\nContent-Length: 0\r\n\r\n"), http.StatusBadRequest, ""},
		"headers without an end": {rawHead("h", "X-Long: "+strings.Repeat("x", 100<<10)+"\r\n\r\n"), http.StatusRequestHeaderFieldsTooLarge, ""},
		"a body without an end":  {rawHead("i", fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40)), http.StatusRequestEntityTooLarge, ""},
	}
	s := newSite(t, 3)
	s.awaitSuccess(onceURL)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before := len(s.services[0].Runs()) + len(s.services[1].Runs())
			statuses := s.sendRaw(c.text)
			if len(statuses) != 1 || statuses[0] != c.want {
				t.Errorf("statuses %v, want %d", statuses, c.want)
			}
			runs := append(s.services[0].Runs(), s.services[1].Runs()...)
			wanted := before
			if c.body != "" {
				wanted++
			}
			if len(runs) != wanted {
				t.Errorf("%d calls ran, want %d", len(runs)-before, wanted-before)
			}
			found := c.body == ""
			for _, run := range runs {
				if run.ID == "hidden" {
					t.Error("the hidden request ran")
				}
				found = found || run.Body == c.body
			}
			if !found {
				t.Errorf("no run has the body %q", c.body)
			}
		})
	}
}
