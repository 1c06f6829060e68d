package parser

import (
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/garnetworks/garnetworks"
)

// Format returns a text that Parse reads as the same manifest, or an error of kind
// garnetworks.KindInternal if it cannot produce one.
func Format(manifest *garnetworks.Manifest) (string, error) {
	body, err := yaml.MarshalWithOptions(manifest, yaml.IndentSequence(true),
		yaml.CustomMarshaler(func(d time.Duration) ([]byte, error) { return []byte(d.String()), nil }),
		yaml.CustomMarshaler(func(f float64) ([]byte, error) { return strconv.AppendFloat(nil, f, 'f', -1, 64), nil }))
	if err != nil {
		return "", garnetworks.WrapError(garnetworks.KindInternal, err, "the manifest can't be written")
	}
	text := string(body) + endMarker + "\n"
	// Reads the text back, because a text that differs from the manifest would be
	// committed in its place.
	again, problems := Parse("", []byte(text))
	if len(problems) > 0 {
		return "", garnetworks.WrapError(garnetworks.KindInternal, problems, "the written manifest can't be read")
	}
	if changes := Diff(manifest, again); len(changes) > 0 {
		return "", garnetworks.Errorf(garnetworks.KindInternal, "the written manifest differs at %s", changes[0].Path)
	}
	return text, nil
}
