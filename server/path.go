package server

import (
	"net/url"
	"strings"

	"github.com/garnetworks/garnetworks"
)

const (
	servicesPrefix = "/services/"
	maxKeyBytes    = 255
)

// refusedEscapes are escapes of characters that bear on how a path is taken
// apart. Backend servers differ in when they decode them.
var refusedEscapes = []string{"%2f", "%5c", "%2e", "%25", "%3b", "%00", "%0a", "%0d"}

// splitServicePath returns the service and the normal form of the path behind it
// (rule H4).
//
// Failure: the manifest says that GET /list is repeatable and that /visits is
// not. A caller sends /list/../visits, /%76isits or //visits; the node compares
// one spelling with the manifest, the server carries out the other, and a visit
// is logged twice.
func splitServicePath(u *url.URL) (garnetworks.ServiceName, string, error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), servicesPrefix)
	if !ok {
		return "", "", invalid("the path must begin with /services/")
	}
	service, path, found := strings.Cut(rest, "/")
	if service == "" {
		return "", "", invalid("the path names no service")
	}
	if !found {
		path = ""
	}
	path, err := normalizePath("/" + path)
	if err != nil {
		return "", "", err
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return garnetworks.ServiceName(service), path, nil
}

// normalPath checks an escaped path and returns it with no escapes but the
// necessary ones.
func normalizePath(escaped string) (string, error) {
	lower := strings.ToLower(escaped)
	for _, e := range refusedEscapes {
		if strings.Contains(lower, e) {
			return "", invalid("the path holds an escape that servers read in different ways: " + e)
		}
	}
	if strings.ContainsAny(escaped, "\\;") {
		return "", invalid("the path holds a backslash or a semicolon")
	}
	decoded, err := url.PathUnescape(escaped)
	if err != nil {
		return "", invalid("the path holds a broken escape")
	}
	segments := strings.Split(decoded, "/")
	for i, segment := range segments {
		if segment == "." || segment == ".." {
			return "", invalid("the path holds a segment of dots")
		}
		if segment == "" && i > 0 && i < len(segments)-1 {
			return "", invalid("the path holds an empty segment")
		}
	}
	return (&url.URL{Path: decoded}).EscapedPath(), nil
}

// checkKey checks an idempotency key.
func parseIdempotencyKey(values []string) (string, error) {
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", invalid("there is more than one Idempotency-Key")
	}
	key := values[0]
	if key == "" || len(key) > maxKeyBytes {
		return "", invalid("an Idempotency-Key must have 1 to 255 characters")
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", invalid("an Idempotency-Key must be visible ASCII without spaces")
		}
	}
	return key, nil
}
