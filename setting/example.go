package setting

import _ "embed" // for example.toml

//go:embed example.toml
var example string

// Example returns the commented settings tree of a small deployment, as TOML.
func Example() string { return example }
