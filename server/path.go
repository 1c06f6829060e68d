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

// refusedEscapes are escapes of characters that are significant in a path, or of control
// characters. Backend servers differ in when they decode them.
var refusedEscapes = []string{"%2f", "%5c", "%2e", "%25", "%3b", "%00", "%0a", "%0d"}

// splitServicePath returns the service and the normalized path after it, with the query
// (rule H4).
//
// Failure: the manifest lists GET /list as idempotent, but not /visits. A caller sends
// /list/../visits, /%76isits or //visits; the node checks one spelling against the manifest,
// the server executes another, and a retry logs a visit twice.
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

// normalizePath checks an escaped path and returns it with only the necessary escapes.
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

// parseIdempotencyKey returns the idempotency key of a request, or "" if it has none.
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
