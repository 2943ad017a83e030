package setting

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// levelPath identifies a level of a drawn tree: site, service, organisation and
// workload, with empty strings for the levels below it.
type levelPath [4]string

// flatTree is the oracle for a drawn tree: the values of two keys by level, without
// any inheritance.
type flatTree struct {
	share map[levelPath]float64
	burst map[levelPath]int
}

var levelTables = [4]string{"site", "service", "organisation", "workload"}

// header returns the TOML table name of a level; empty for the root.
func (l levelPath) header() string {
	var parts []string
	for i, name := range l {
		if name != "" {
			parts = append(parts, levelTables[i]+"."+name)
		}
	}

	return strings.Join(parts, ".")
}

// effective searches upwards from p for the first level that sets each value.
func (d flatTree) effective(p Path) (share float64, burst int, source string) {
	share, burst, source = 1, 100, "default" // as in docs/CONFIGURATION.md
	foundShare, foundBurst := false, false

	for depth := 4; depth >= 0; depth-- {
		at := levelPath{p.Site, p.Service, p.Organisation, p.Workload}
		for i := depth; i < 4; i++ {
			at[i] = ""
		}

		if v, ok := d.share[at]; ok && !foundShare {
			share, foundShare = v, true

			source = strings.TrimRight(strings.Join(at[:depth], "/"), "/")
			if at == (levelPath{}) {
				source = "root"
			}
		}

		if v, ok := d.burst[at]; ok && !foundBurst {
			burst, foundBurst = v, true
		}
	}

	return share, burst, source
}

const objectTables = "[[data_centre]]\nname = \"d\"\nsite = \"a\"\nregion = \"r\"\n\n[[data_centre]]\nname = \"e\"\nsite = \"b\"\nregion = \"r\"\n\n" +
	"[[service]]\nname = \"a\"\nkind = \"plain\"\n\n[[service]]\nname = \"b\"\nkind = \"plain\"\n\n" +
	"[[organisation]]\nname = \"a\"\n\n[[organisation]]\nname = \"b\"\n\n"

// drawTree returns a drawn tree and its text, with the levels in any order.
func drawTree(t *rapid.T) (flatTree, string) {
	d := flatTree{map[levelPath]float64{}, map[levelPath]int{}}
	seen := map[levelPath]bool{}
	name := rapid.SampledFrom([]string{"a", "b"})

	var root, below strings.Builder

	for range rapid.IntRange(0, 3*tablesPerChunk).Draw(t, "levels") {
		var at levelPath
		for i := range rapid.IntRange(0, 4).Draw(t, "depth") {
			at[i] = name.Draw(t, "name")
			if i == 3 {
				at[i] = fmt.Sprint("w", rapid.IntRange(0, 30).Draw(t, "workload"))
			}
		}

		if seen[at] {
			continue
		}

		seen[at] = true

		out := &below
		if at == (levelPath{}) {
			out = &root
		} else {
			fmt.Fprintf(out, "[%s]\n", at.header())
		}

		if rapid.Bool().Draw(t, "has share") {
			d.share[at] = float64(rapid.IntRange(1, 999).Draw(t, "share"))
			fmt.Fprintf(out, "share = %.1f\n", d.share[at])
		}

		if rapid.Bool().Draw(t, "has burst") {
			d.burst[at] = rapid.IntRange(1, 999).Draw(t, "burst")
			fmt.Fprintf(out, "request_burst = %d # %s\n", d.burst[at], at.header())
		}
	}

	return d, root.String() + objectTables + below.String()
}

func TestInheritanceAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, text := drawTree(t)

		tree, err := Parse("drawn", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}

		name := rapid.SampledFrom([]string{"a", "b", "x", ""})

		for range 50 {
			p := Path{name.Draw(t, "site"), name.Draw(t, "service"), name.Draw(t, "organisation"), ""}
			p.Workload = fmt.Sprint("w", rapid.IntRange(0, 31).Draw(t, "workload"))

			share, burst, source := d.effective(p)
			if v := tree.Effective(p); v.Share != share || v.RequestBurst != burst {
				t.Fatalf("%v: got share %v, burst %v, want %v, %v", p, v.Share, v.RequestBurst, share, burst)
			}

			if got := tree.Source(p, "share"); got != source {
				t.Fatalf("%v: got share from %s, want %s", p, got, source)
			}
		}
	})
}

// A tree is decoded in chunks. If a chunk could be decoded differently from the
// complete file, a file would be valid on one day and invalid on the next, when an
// added table moves a chunk boundary.
func TestChunksDecodeLikeFullFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, text := drawTree(t)

		var before document

		cached, _ := decodeTree("f", []byte(text), &before, nil)
		printed := fmt.Sprintf("%+v", before)
		lines := strings.SplitAfter(text, "\n")
		oddLine := rapid.SampledFrom([]string{
			"[site.a]\n", "share = 2.0\n", "service.a.share = 3.0\n", "organisation = {a = {share = 2.0}}\n", "note = \"\"\"\n[x]\n\"\"\"\n",
			"[[site.a]]\n", "[organisation]\n", "[data_centre.x]\n", "[[organisation]]\nname = \"c\"\n", "[\n", "keys = [\n\"a\",\n]\n", "\x00\n",
		})

		for range rapid.IntRange(0, 3).Draw(t, "edits") {
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")

			switch rapid.IntRange(0, 2).Draw(t, "edit") {
			case 0:
				lines[i] = oddLine.Draw(t, "odd") + lines[i]
			case 1:
				lines[i] += lines[rapid.IntRange(0, len(lines)-1).Draw(t, "copied")]
			case 2:
				lines[i] = ""
			}
		}

		b := []byte(strings.Join(lines, ""))

		var got, want document

		_, gotProblems := decodeTree("f", b, &got, cached)
		wantProblems := decode("f", b, &want)

		if !reflect.DeepEqual(gotProblems, wantProblems) {
			t.Fatalf("got %v, want %v in\n%s", gotProblems, wantProblems, b)
		}

		if wantProblems == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v in\n%s", got, want, b)
		}

		var again document

		_, _ = decodeTree("f", []byte(text), &again, cached)

		if !reflect.DeepEqual(again, before) || fmt.Sprintf("%+v", before) != printed {
			t.Fatalf("the older tree was modified: got %+v, want %+v", again, before)
		}
	})
}

// A dotted key defines a table that a later header must not open again. With a
// chunk boundary between the two, neither chunk shows the problem.
func TestDottedKeysAreNotChunked(t *testing.T) {
	text := objectTables + "[site.a]\nservice.a.share = 3.0\n\n"
	for i := range 10 * tablesPerChunk {
		text += fmt.Sprintf("[site.b.service.a.organisation.a.workload.w%d]\nshare = 2.0\n\n", i)
	}

	text += "[site.a.service.a]\nrequest_burst = 5\n"

	var doc document
	if got, want := len(decode("f", []byte(text), &doc)), 1; got != want {
		t.Fatalf("without chunks: got %d problems, want %d", got, want)
	}

	if _, err := Parse("f", []byte(text)); failure.KindOf(err) != failure.BadSettings || err == nil {
		t.Errorf("got %v, want %v", err, failure.BadSettings)
	}
}

// checkParse checks that text is either accepted or refused with BadSettings.
func checkParse(t interface{ Errorf(string, ...any) }, text []byte) {
	tree, err := Parse("f", text)
	if err != nil && failure.KindOf(err) != failure.BadSettings || (tree == nil) != (err != nil) {
		t.Errorf("%q: got %v, %v", text, tree, err)
	}

	if _, err := ParseProcess("f", text); err != nil && failure.KindOf(err) != failure.BadSettings {
		t.Errorf("%q: got %v", text, err)
	}
}

// A damaged file must return an error. A panic would end the process that parses
// it, and with a published tree all processes at once.
func TestDamagedFilesGiveErrors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(Example())

		for range rapid.IntRange(1, 5).Draw(t, "edits") {
			i := rapid.IntRange(0, len(text)-1).Draw(t, "at")

			switch rapid.IntRange(0, 2).Draw(t, "edit") {
			case 0:
				text[i] = rapid.Byte().Draw(t, "byte")
			case 1:
				text = append(text[:i:i], text[rapid.IntRange(i, len(text)-1).Draw(t, "to"):]...)
			case 2:
				text = append(text[:i:i], append([]byte(rapid.StringN(0, 5, -1).Draw(t, "put")), text[i:]...)...)
			}

			if len(text) == 0 {
				break
			}
		}

		checkParse(t, text)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example()))
	f.Add([]byte("[[organisation]]\nname = \"o\"\nkeys = [\"x\"]\n[site.a.service]\n"))
	f.Add([]byte("role = \"entry\"\n[listen]\npeers = \"127.0.0.1:1\"\n"))

	f.Fuzz(func(t *testing.T, text []byte) { checkParse(t, text) })
}
