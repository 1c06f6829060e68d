package parser

import _ "embed"

//go:embed example.yaml
var example string

// Example returns a complete, commented manifest that Parse accepts.
func Example() string { return example }
