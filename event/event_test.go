package event

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

const pagePath = "../docs/EVENTS.md"

var update = flag.Bool("update", false, "rewrite "+pagePath+" from the catalogue")

// renderPage renders the catalogue as the page for operators.
func renderPage() string {
	var b strings.Builder

	b.WriteString("# Events\n\nEvery log line has one of these numbers in its field `event`. Generated from the catalogue by `go test ./event -update`; a test checks that both are the same.\n\n| event | name | meaning |\n| --- | --- | --- |\n")

	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s |\n", e.Number, e.Name, e.Text)
	}

	return b.String()
}

func TestPageListsTheCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(pagePath, []byte(renderPage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}

	b, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}

	if got, want := string(b), renderPage(); got != want {
		t.Errorf("%s differs from the catalogue; run go test ./event -update", pagePath)
	}
}

func TestNamesAreSnakeCaseAndUnique(t *testing.T) {
	form := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)
	seen := map[string]bool{}

	for _, e := range All() {
		if !form.MatchString(e.Name) || seen[e.Name] || e.Text == "" {
			t.Errorf("event %d: got name %q text %q, want a unique snake-case name and a text", e.Number, e.Name, e.Text)
		}

		seen[e.Name] = true
	}
}
