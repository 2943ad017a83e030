package setting

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"boragehub/failure"
)

func TestExampleIsValid(t *testing.T) {
	tree, err := Parse("example.toml", []byte(Example()))
	if err != nil {
		t.Fatal(err)
	}

	curb := tree.Effective(Path{"bc-south", "boragehub-llm", "desk-agents", "curb"})
	if got, want := curb.Class, Urgent; got != want {
		t.Errorf("class: got %v, want %v", got, want)
	}

	if got, want := curb.Deadline, 2*time.Second; got != want {
		t.Errorf("deadline of the workload: got %v, want %v", got, want)
	}

	if got, want := curb.Share, 3.0; got != want {
		t.Errorf("share of the organisation: got %v, want %v", got, want)
	}

	if got, want := curb.UsualGap, 15*time.Minute; got != want {
		t.Errorf("usual gap of the service: got %v, want %v", got, want)
	}

	if got, want := curb.FirstTokenWeight, 4.0; got != want {
		t.Errorf("first token weight of the site: got %v, want %v", got, want)
	}

	if got, want := curb.RequestBurst, Defaults().RequestBurst; got != want {
		t.Errorf("default burst: got %v, want %v", got, want)
	}

	if got, want := tree.Effective(Path{Site: "elsewhere"}).Class, Standard; got != want {
		t.Errorf("unknown site: got %v, want %v", got, want)
	}

	if l, ok := tree.Link("burnaby-a", "yvr-east"); !ok || l.BytesPerSecond != 250_000_000 {
		t.Errorf("link with the names swapped: got %+v %v", l, ok)
	}
}

func TestProblemsHaveLineAndKey(t *testing.T) {
	const world = "[[data_centre]]\nname = \"a\"\nsite = \"s\"\nregion = \"r\"\n" +
		"[[service]]\nname = \"v\"\nkind = \"plain\"\n"

	cases := []struct {
		name string
		text string
		line int
		key  string
	}{
		{"invalid TOML", "class = ", 1, ""},
		{"unknown key", "class = \"urgent\"\nshares = 1\n", 2, "shares"},
		{"unknown key of a site", world + "[site.s]\ndeadlin = \"1s\"\n", 9, "site.s.deadlin"},
		{"unknown class", "\nclass = \"soon\"\n", 2, "class"},
		{"duration without a unit", "deadline = 3\n", 1, "deadline"},
		{"wrong unit", "deadline = \"3 parsecs\"\n", 1, "deadline"},
		{"too small", "share = 1.0\nmax_attempts = 0\n", 2, "max_attempts"},
		{"not a number", "share = nan\n", 1, "share"},
		{"duration too long", world + "[site.s.service.v]\n\nquarantine_memory = \"9000h\"\n", 10, "site.s.service.v.quarantine_memory"},
		{"unknown site", world + "[site.x]\nshare = 2.0\n", 8, "site.x"},
		{"unknown service", world + "[site.s.service.x]\nshare = 2.0\n", 8, "site.s.service.x"},
		{"unknown organisation", world + "[site.s.service.v.organisation.o]\n", 8, "site.s.service.v.organisation.o"},
		{"invalid name", world + "[site.s.service.v.organisation.\"a b\"]\n", 8, "site.s.service.v.organisation.a b"},
		{"duplicate service", world + "[[service]]\nname = \"v\"\nkind = \"plain\"\n", 8, "service.1"},
		{"service without a kind", "[[service]]\nname = \"v\"\n", 1, "service.0.kind"},
		{"link to an unknown data centre", world + "[[link]]\nbetween = [\"a\", \"b\"]\nbytes_per_second = 1000\ndelay = \"1ms\"\n", 9, "link.0.between"},
		{"API key instead of a key hash", "[[organisation]]\nname = \"o\"\nkeys = [\"sk-secret\"]\n", 3, "organisation.0.keys.0"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if got, want := failure.KindOf(err), failure.BadSettings; err == nil || got != want {
				t.Fatalf("got %v (%v), want %v", got, err, want)
			}

			p := ProblemsOf(err)[0]
			if p.File != "f.toml" || p.Line != c.line || p.Key != c.key {
				t.Errorf("got %s, want line %d key %s", p, c.line, c.key)
			}

			if strings.Contains(err.Error(), "sk-secret") {
				t.Errorf("got the secret in %v", err)
			}
		})
	}
}

func TestOverridesMatchValues(t *testing.T) {
	values, levels := reflect.TypeFor[Values](), reflect.TypeFor[overrides]()

	for i := range max(values.NumField(), levels.NumField()) {
		got, want := levels.Field(i).Name, values.Field(i).Name
		if got != want {
			t.Errorf("field %d: got %s, want %s", i, got, want)
		}
	}
}

func TestDiffNamesKeysByName(t *testing.T) {
	text := Example()
	a, err := Parse("a", []byte(text))
	if err != nil {
		t.Fatal(err)
	}

	text = strings.Replace(text, "concurrent_loads = 2", "concurrent_loads = 5", 1)
	text = strings.Replace(text, "share = 3.0\n", "", 1) + "\n# only a comment\nmax_attempts = 2\n"

	b, err := Parse("b", []byte(text))
	if err != nil {
		t.Fatal(err)
	}

	const review = "site.bc-south.service.boragehub-llm.organisation.planning-office.workload.fare-review.max_attempts"

	want := []Change{
		{"data_centre.yvr-east.concurrent_loads", "2", "5"},
		{"site.bc-south.service.boragehub-llm.organisation.desk-agents.share", "3", ""},
		{review, "", "2"},
	}
	if got := Diff(a, b); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}

	if got := Diff(a, a); got != nil {
		t.Errorf("got %v for the same tree, want none", got)
	}
}

func BenchmarkEffective(b *testing.B) {
	tree, err := Parse("example.toml", []byte(Example()))
	if err != nil {
		b.Fatal(err)
	}

	p := Path{"bc-south", "boragehub-llm", "desk-agents", "curb"}

	b.ReportAllocs()

	for b.Loop() {
		tree.Effective(p)
	}
}
