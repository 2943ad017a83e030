package organisation

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/go-logr/zerologr"
	"github.com/rs/zerolog"

	"boragehub/event"
	"boragehub/failure"
	"boragehub/setting"
)

func newTestRegistry(t testing.TB, text string) *KeyRegistry {
	t.Helper()

	tree, err := setting.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}

	return NewKeyRegistry(tree)
}

func TestAuthenticate(t *testing.T) {
	r := newTestRegistry(t, fmt.Sprintf(`
[[service]]
name = "llm"
kind = "engine"
[[service]]
name = "desk"
kind = "plain"
[[organisation]]
name = "a"
keys = ["%s", "%s"]
services = ["llm"]
[[organisation]]
name = "b"
keys = ["%s"]
[[organisation]]
name = "c"
keys = ["%s"]
blocked = true
`, HashKey("old"), HashKey("new"), HashKey("other"), HashKey("blocked")))

	cases := []struct {
		credential string
		want       string
		kind       failure.Kind
	}{
		{"old", "a", 0},
		{"new", "a", 0},
		{"other", "b", 0},
		{"blocked", "", failure.Forbidden},
		{"", "", failure.Unauthenticated},
		{"ol", "", failure.Unauthenticated},
		{HashKey("old"), "", failure.Unauthenticated},
		{strings.Repeat("x", maxCredentialBytes+1), "", failure.Unauthenticated},
	}

	for _, c := range cases {
		got, err := r.Authenticate(c.credential)
		if got != c.want || (err != nil) != (c.want == "") || (err != nil && failure.KindOf(err) != c.kind) {
			t.Errorf("%.10q: got %q %v, want %q %v", c.credential, got, err, c.want, c.kind)
		}
	}

	permits := []struct {
		name, service string
		want          bool
	}{
		{"a", "llm", true}, {"a", "desk", false}, {"b", "desk", true}, {"c", "llm", false}, {"x", "llm", false},
	}

	for _, c := range permits {
		if err := r.Authorise(c.name, c.service); (err == nil) != c.want {
			t.Errorf("%s at %s: got %v, want permitted %v", c.name, c.service, err, c.want)
		}
	}
}

// A key in a log line is visible to everyone who reads logs. A wrong key of a caller, or
// a key that an operator puts in the settings instead of its hash, must not be logged.
func TestKeysAreNotLogged(t *testing.T) {
	const secret = "bh-very-secret"

	var out bytes.Buffer

	z := zerolog.New(&out)

	log := zerologr.New(&z)
	r := newTestRegistry(t, "")
	_, err := r.Authenticate(secret)
	event.Fail(log, err, event.ProcessFailed, "error", err)

	for _, text := range []string{
		"[[organisation]]\nname = \"o\"\nkeys = [\"%s\"]\n",
		"[[organisation]]\nname = \"o\"\nkeys = \"%s\"\n",
		"[[organisation]]\nname = \"o\"\nkeys = [\"sha256:%s\"]\n",
		"[[organisation]]\nname = \"o\"\nkey = \"%s\"\n",
		"[[organisation]]\nname = \"o\"\nkeys = [\"%s\n",
	} {
		_, err := setting.Parse("test", []byte(fmt.Sprintf(text, secret)))
		if err == nil {
			t.Fatalf("%s: got no error", text)
		}

		event.Fail(log, err, event.ProcessFailed, "error", err.Error(), "problems", setting.ProblemsOf(err))
	}

	if strings.Contains(out.String(), secret) {
		t.Errorf("got the secret in %s", out.String())
	}

	if got, want := strings.Count(out.String(), "\n"), 6; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
}

func TestNewKeyIsAccepted(t *testing.T) {
	key, hash := NewKey()
	r := newTestRegistry(t, fmt.Sprintf("[[organisation]]\nname = \"o\"\nkeys = [%q]\n", hash))

	if got, err := r.Authenticate(key); got != "o" || err != nil {
		t.Errorf("got %q %v, want o", got, err)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	var text strings.Builder

	for i := range 10_000 {
		fmt.Fprintf(&text, "[[organisation]]\nname = \"o%d\"\nkeys = [%q, %q]\n", i, HashKey(fmt.Sprint("a", i)), HashKey(fmt.Sprint("b", i)))
	}

	r := newTestRegistry(b, text.String())

	b.ReportAllocs()

	for b.Loop() {
		if _, err := r.Authenticate("b777"); err != nil {
			b.Fatal(err)
		}
	}
}
