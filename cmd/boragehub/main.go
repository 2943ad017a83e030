// Command boragehub is the one program of all roles: see boragehub --help.
package main

import (
	"fmt"

	"github.com/integrii/flaggy"
)

// version is the program's version, set when a release is built.
var version = "dev"

func main() {
	flaggy.SetName("boragehub")
	flaggy.SetDescription("Serves language-model prompts whose context returns after long gaps.")
	flaggy.SetVersion(version)
	flaggy.Parse()
	fmt.Println("boragehub", version)
}
