package parser_test

import (
	"testing"

	"github.com/garnetworks/garnetworks/parser"
)

func TestExampleParses(t *testing.T) {
	m, problems := parser.Parse("example.yaml", []byte(parser.Example()))
	if len(problems) > 0 {
		t.Fatalf("the example has problems:\n%v", problems)
	}
	body, err := parser.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	again, err := parser.Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	if changes := parser.Diff(m, again); len(changes) > 0 {
		t.Errorf("Encode and Decode change the manifest: %v", changes)
	}
}
