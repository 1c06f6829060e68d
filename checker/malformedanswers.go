package checker

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// MalformedAnswers describes requests whose server sends malformed answers.
type MalformedAnswers struct {
	// Prefix is the number of bytes before the first request of a connection.
	Prefix int64
	// Fields are the lines of the answer's head that the reader needs, Body its body.
	Fields, Body string
	// Names are names of fields that the reader looks at, beside those of the framing.
	Names []string
	// Unfolds says that the reader accepts folded lines, as the standard library does.
	Unfolds bool
	// IgnoresTrailer says that an answer is whole before its trailer.
	IgnoresTrailer bool
	// NewSender returns a function that sends a request to the address and reads the answer to its end, over
	// the same connection if it keeps any.
	NewSender func(t *testing.T, address string) func() error
}

// malformedFields are invalid lines of heads and trailers.
var malformedFields = map[string]string{
	"a space inside a name":           "X Name: v",
	"a space before the colon":        "X-Name : v",
	"a name of two words and a space": "X Other Name : v",
	"a tab inside a name":             "X\tName: v",
	"a NUL in a name":                 "X\x00Name: v",
	"a BEL in a name":                 "X\x07Name: v",
	"a VT in a name":                  "X\x0bName: v",
	"an ESC in a name":                "X\x1bName: v",
	"a DEL in a name":                 "X\x7fName: v",
	"a high byte in a name":           "X\xe9Name: v",
	"a bracket in a name":             "X[Name: v",
	"a name of a slash":               "/: v",
	"no name":                         ": v",
	"no colon":                        "X-Name",
	"a NUL in a value":                "X-Name: a\x00b",
	"a BEL in a value":                "X-Name: a\x07b",
	"a DEL in a value":                "X-Name: a\x7fb",
	"a CR in a value":                 "X-Name: a\rb",
}

// foldedFields are lines that continue the field before them.
var foldedFields = map[string]string{
	"a name of one space":       " : v",
	"a space before a name":     " X-Name: v",
	"a tab before a name":       "\tX-Name: v",
	"a line of spaces":          "  ",
	"a space before the length": " Content-Length: 1",
}

// statuses are invalid status codes of a final answer.
var statuses = []string{
	"000", "001", "099", "0", "20", "2000", "+20", "-20", "2x0", "", " ", "x", "100", "101", "199", "600", "999",
}

// statusLines are invalid status lines with a valid status code or without one.
var statusLines = []string{
	"HTTP/2.7 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "ICY 200 OK", "HTTP/1.1", "HTTP/1.1\t200 OK", "HTTP/1.1\x00200 OK",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\x07K", "HTTP/1.1 200 O\x1bK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK",
}

// Answers returns malformed answers by what is wrong with them.
func (c MalformedAnswers) Answers() map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := c.length()
	answers := map[string]string{
		"a space in the length":                   ok + c.Fields + strings.Replace(length, ":", " :", 1) + "\r\n" + c.Body + "surplus",
		"a space in the encoding":                 ok + c.Fields + "Transfer-Encoding : chunked\r\n\r\n" + c.chunks(""),
		"a space in the encoding beside a length": ok + c.Fields + "Transfer-Encoding : chunked\r\n" + length + "\r\n" + c.Body,
	}
	for _, name := range c.Names {
		for _, spaced := range []string{name + " ", strings.Replace(name, "-", " ", 1), strings.Replace(name, "-", "- ", 1)} {
			answers["the field "+spaced] = ok + c.Fields + spaced + ": 1\r\n" + length + "\r\n" + c.Body
		}
	}
	lines := []map[string]string{malformedFields}
	if !c.Unfolds {
		lines = append(lines, foldedFields)
	}
	for _, fields := range lines {
		for name, line := range fields {
			answers[name] = ok + c.Fields + length + "X-Last: 1\r\n" + line + "\r\n\r\n" + c.Body
			answers[name+", first"] = ok + line + "\r\n" + c.Fields + length + "\r\n" + c.Body
		}
	}
	for _, status := range statuses {
		answers["status "+strconv.Quote(status)] = "HTTP/1.1 " + status + " X\r\n" + c.Fields + c.length() + "\r\n" + c.Body
	}
	for _, line := range statusLines {
		answers["the line "+strconv.Quote(line)] = line + "\r\n" + c.Fields + c.length() + "\r\n" + c.Body
	}
	if c.IgnoresTrailer {
		return answers
	}
	for name, line := range malformedFields {
		answers[name+", in a trailer"] = ok + c.Fields + "Transfer-Encoding: chunked\r\n\r\n" + c.chunks(line+"\r\n")
	}
	return answers
}

func (c MalformedAnswers) length() string { return fmt.Sprintf("Content-Length: %d\r\n", len(c.Body)) }

// chunks returns the body in chunks with a trailer.
func (c MalformedAnswers) chunks(trailer string) string {
	return fmt.Sprintf("%x\r\n", len(c.Body)) + c.Body + "\r\n0\r\n" + trailer + "\r\n"
}

// Run sends requests to a server that answers them with each of the answers, on new and on kept connections.
func (c MalformedAnswers) Run(t *testing.T) {
	t.Helper()
	sound := "HTTP/1.1 200 OK\r\n" + c.Fields + c.length() + "\r\n" + c.Body
	for name, answer := range c.Answers() {
		for kept, first := range map[bool]string{false: "", true: sound} {
			t.Run(fmt.Sprintf("%s, kept %t", name, kept), func(t *testing.T) {
				if err := exchangeRaw(t, c.Prefix, c.NewSender, first, impersonator.RawAnswer{Text: answer, End: impersonator.RawReadClose}); err == nil {
					t.Errorf("%q is accepted", answer)
				}
			})
		}
	}
}
