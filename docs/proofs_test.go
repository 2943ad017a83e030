// Package docs has no code: its test checks that what the pages name is there.
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
	// named finds the tests that a page names, as in `route.TestX` or `TestX`.
	named = regexp.MustCompile("`(?:[a-z_/]+\\.)?(Test[A-Za-z0-9_]+)`")
	// declared finds the tests that a file declares.
	declared = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
)

// A test is renamed or replaced, and the page of proofs goes on naming it. Whoever looks the
// proof of a promise up finds nothing.
func TestProofsNameTestsThatExist(t *testing.T) {
	have := map[string]bool{}

	for _, text := range files(t, "..", "_test.go") {
		for _, m := range declared.FindAllStringSubmatch(text, -1) {
			have[m[1]] = true
		}
	}

	pages := files(t, "proofs", ".md")

	page, err := os.ReadFile("PROOFS.md")
	if err != nil {
		t.Fatal(err)
	}

	seen := 0

	for _, text := range append(pages, string(page)) {
		for _, m := range named.FindAllStringSubmatch(text, -1) {
			seen++

			if !have[m[1]] {
				t.Errorf("got a proof by %s, want one by a test that exists", m[1])
			}
		}
	}

	if seen == 0 {
		t.Error("got no tests named, want some")
	}
}

// files returns the texts of all files below a folder whose names end so.
func files(t *testing.T, root, suffix string) []string {
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
