package setting

import _ "embed" // for the example

//go:embed example.toml
var example string

// Example returns a tree of a small deployment with a comment at each part.
func Example() string { return example }
