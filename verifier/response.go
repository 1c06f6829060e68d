package verifier

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformed is the cause of the errors of responses that are not well-formed.
var ErrMalformed = errors.New("the response is not well-formed")

// maxStatus is the largest status code (RFC 9110, section 15).
const maxStatus = 599

// Head returns an error if the head of a response, which may be an interim one, breaks a rule.
func Head(response *http.Response) error {
	switch {
	case response.ProtoMajor != 1:
		return errors.Wrapf(ErrMalformed, "invalid version %q", response.Proto)
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return errors.Wrapf(ErrMalformed, "invalid status code %d", response.StatusCode)
	case strings.ContainsFunc(response.Status, isControl):
		return errors.Wrapf(ErrMalformed, "control character in status line %.64q", response.Status)
	}
	return fieldNames(response.Header)
}

// Trailer returns an error if the trailer of a response whose body has been read to its end breaks a rule.
func Trailer(response *http.Response) error { return fieldNames(response.Trailer) }

// isControl reports whether r must not appear in a reason phrase (RFC 9112, section 4).
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' }

// fieldNames checks rule V2. The standard library accepts a space in a name: the field is passed on, and
// a "Content-Length " doesn't delimit the body.
func fieldNames(fields http.Header) error {
	for name := range fields {
		if name == "" || strings.ContainsFunc(name, notInToken) {
			return errors.Wrapf(ErrMalformed, "invalid field name %.64q", name)
		}
	}
	return nil
}

// notInToken reports whether r must not appear in a token (RFC 9110, section 5.6.2).
func notInToken(r rune) bool {
	switch {
	case '0' <= r && r <= '9', 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// Transport sends requests and verifies the responses.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = Head(response)
	if err == nil && response.StatusCode < http.StatusOK {
		err = errors.Wrapf(ErrMalformed, "status code %d in a final response", response.StatusCode)
	}
	if err != nil {
		_ = response.Body.Close() // the error of the head counts
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, response: response}
	return response, nil
}

// body is a body whose trailer is verified at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := Trailer(b.response); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
