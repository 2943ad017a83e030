package setting

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"boragehub/failure"
)

// level is one level of a drawn tree; names are the empty string above it.
type level [4]string

// drawn is a tree as an operator would write it, without any structure: what
// each level says of two keys.
type drawn struct {
	share map[level]float64
	burst map[level]int
}

var tables = [4]string{"site", "service", "organisation", "workload"}

// header returns the TOML header of a level; empty for the root.
func (l level) header() string {
	var parts []string
	for i, name := range l {
		if name != "" {
			parts = append(parts, tables[i]+"."+name)
		}
	}

	return strings.Join(parts, ".")
}

// effective goes up from the whole path and takes the first level that says something.
func (d drawn) effective(p Path) (share float64, burst int, from string) {
	share, burst, from = 1, 100, "default" // as the reference page tells them
	foundShare, foundBurst := false, false

	for depth := 4; depth >= 0; depth-- {
		at := level{p.Site, p.Service, p.Organisation, p.Workload}
		for i := depth; i < 4; i++ {
			at[i] = ""
		}

		if v, ok := d.share[at]; ok && !foundShare {
			share, foundShare = v, true

			from = strings.TrimRight(strings.Join(at[:depth], "/"), "/")
			if at == (level{}) {
				from = "root"
			}
		}

		if v, ok := d.burst[at]; ok && !foundBurst {
			burst, foundBurst = v, true
		}
	}

	return share, burst, from
}

const world = "[[data_centre]]\nname = \"d\"\nsite = \"a\"\nregion = \"r\"\n\n[[data_centre]]\nname = \"e\"\nsite = \"b\"\nregion = \"r\"\n\n" +
	"[[service]]\nname = \"a\"\nkind = \"plain\"\n\n[[service]]\nname = \"b\"\nkind = \"plain\"\n\n" +
	"[[organisation]]\nname = \"a\"\n\n[[organisation]]\nname = \"b\"\n\n"

// draw returns a tree and its text, its levels in any order.
func draw(t *rapid.T) (drawn, string) {
	d := drawn{map[level]float64{}, map[level]int{}}
	seen := map[level]bool{}
	name := rapid.SampledFrom([]string{"a", "b"})

	var root, below strings.Builder

	for range rapid.IntRange(0, 3*chunkTables).Draw(t, "levels") {
		var at level
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
		if at == (level{}) {
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

	return d, root.String() + world + below.String()
}

func TestInheritanceAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, text := draw(t)

		tree, err := Parse("drawn", []byte(text))
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}

		name := rapid.SampledFrom([]string{"a", "b", "x", ""})

		for range 50 {
			p := Path{name.Draw(t, "site"), name.Draw(t, "service"), name.Draw(t, "organisation"), ""}
			p.Workload = fmt.Sprint("w", rapid.IntRange(0, 31).Draw(t, "workload"))

			share, burst, from := d.effective(p)
			if v := tree.Effective(p); v.Share != share || v.RequestBurst != burst {
				t.Fatalf("%v: got share %v, burst %v, want %v, %v", p, v.Share, v.RequestBurst, share, burst)
			}

			if got := tree.Source(p, "share"); got != from {
				t.Fatalf("%v: got share from %s, want %s", p, got, from)
			}
		}
	})
}

// A tree is decoded in pieces to save time. If a piece could tell otherwise than
// the whole, a file would be right on one day and wrong on the next, when a
// table more moves the place where it is cut.
func TestPiecesDecodeAsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, text := draw(t)

		var before document

		old, _ := decodeTree("f", []byte(text), &before, nil)
		kept := fmt.Sprintf("%+v", before)
		lines := strings.SplitAfter(text, "\n")
		odd := rapid.SampledFrom([]string{
			"[site.a]\n", "share = 2.0\n", "service.a.share = 3.0\n", "organisation = {a = {share = 2.0}}\n", "note = \"\"\"\n[x]\n\"\"\"\n",
			"[[site.a]]\n", "[organisation]\n", "[data_centre.x]\n", "[[organisation]]\nname = \"c\"\n", "[\n", "keys = [\n\"a\",\n]\n", "\x00\n",
		})

		for range rapid.IntRange(0, 3).Draw(t, "edits") {
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")

			switch rapid.IntRange(0, 2).Draw(t, "edit") {
			case 0:
				lines[i] = odd.Draw(t, "odd") + lines[i]
			case 1:
				lines[i] += lines[rapid.IntRange(0, len(lines)-1).Draw(t, "copied")]
			case 2:
				lines[i] = ""
			}
		}

		b := []byte(strings.Join(lines, ""))

		var got, want document

		_, gotProblems := decodeTree("f", b, &got, old)
		wantProblems := decode("f", b, &want)

		if !reflect.DeepEqual(gotProblems, wantProblems) {
			t.Fatalf("got %v, want %v in\n%s", gotProblems, wantProblems, b)
		}

		if wantProblems == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v in\n%s", got, want, b)
		}

		var again document

		_, _ = decodeTree("f", []byte(text), &again, old)

		if !reflect.DeepEqual(again, before) || fmt.Sprintf("%+v", before) != kept {
			t.Fatalf("the older tree has changed: got %+v, want %+v", again, before)
		}
	})
}

// A dotted key makes a table that a header further down may not open again. Cut
// between the two, neither piece shows the fault.
func TestDottedKeysAreDecodedWhole(t *testing.T) {
	text := world + "[site.a]\nservice.a.share = 3.0\n\n"
	for i := range 10 * chunkTables {
		text += fmt.Sprintf("[site.b.service.a.organisation.a.workload.w%d]\nshare = 2.0\n\n", i)
	}

	text += "[site.a.service.a]\nrequest_burst = 5\n"

	var doc document
	if got, want := len(decode("f", []byte(text), &doc)), 1; got != want {
		t.Fatalf("whole: got %d faults, want %d", got, want)
	}

	if _, err := Parse("f", []byte(text)); failure.KindOf(err) != failure.BadSettings || err == nil {
		t.Errorf("got %v, want %v", err, failure.BadSettings)
	}
}

// parses checks that text is taken or refused with the right kind.
func parses(t interface{ Errorf(string, ...any) }, text []byte) {
	tree, err := Parse("f", text)
	if err != nil && failure.KindOf(err) != failure.BadSettings || (tree == nil) != (err != nil) {
		t.Errorf("%q: got %v, %v", text, tree, err)
	}

	if _, err := ParseProcess("f", text); err != nil && failure.KindOf(err) != failure.BadSettings {
		t.Errorf("%q: got %v", text, err)
	}
}

// A damaged file must give an error that says so. A panic would end the process
// that reads it, and with a published tree all of them at once.
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

		parses(t, text)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example()))
	f.Add([]byte("[[organisation]]\nname = \"o\"\nkeys = [\"x\"]\n[site.a.service]\n"))
	f.Add([]byte("role = \"entry\"\n[listen]\npeers = \"127.0.0.1:1\"\n"))

	f.Fuzz(func(t *testing.T, text []byte) { parses(t, text) })
}
