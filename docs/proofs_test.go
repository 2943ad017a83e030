// Package docs has no code; its test checks that the tests cited in the documentation exist.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// namedTest matches a test cited on a page, as in `route.TestX` or `TestX`.
	namedTest = regexp.MustCompile("`(?:[a-z_/]+\\.)?(Test[A-Za-z0-9_]+)`")
	// declaredTest matches the declaration of a test.
	declaredTest = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
)

// Guards against citations of tests that don't exist: a test may be renamed or replaced while
// PROOFS.md or a page in proofs still cites it as the proof of a guarantee.
func TestProofsNameTestsThatExist(t *testing.T) {
	exists := map[string]bool{}

	for _, text := range readFiles(t, "..", "_test.go") {
		for _, m := range declaredTest.FindAllStringSubmatch(text, -1) {
			exists[m[1]] = true
		}
	}

	pages := readFiles(t, "proofs", ".md")

	page, err := os.ReadFile("PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}

	checked := 0

	for _, text := range append(pages, string(page)) {
		for _, m := range namedTest.FindAllStringSubmatch(text, -1) {
			checked++

			if !exists[m[1]] {
				t.Errorf("got a citation of %s, want an existing test", m[1])
			}
		}
	}

	if checked == 0 {
		t.Error("got no cited tests, want at least one")
	}
}

// readFiles returns the contents of all files below root whose paths end with suffix.
func readFiles(t *testing.T, root, suffix string) []string {
	t.Helper()

	var texts []string

	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}

		b, err := os.ReadFile(path)
		texts = append(texts, string(b))

		return err
	})
	if err != nil {
		t.Fatal(err)
	}

	return texts
}
