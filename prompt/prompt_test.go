package prompt

import (
	"strings"
	"testing"
)

func TestLongerPromptExtendsChain(t *testing.T) {
	scope := Scope{Salt: "a", Model: "m", Version: "v1"}
	text := strings.Repeat("one case file ", 40)
	short := scope.Chain(text[:300], DefaultBlockTokens)
	long := scope.Chain(text, DefaultBlockTokens)

	if got, want := short.Len(), 4; got != want {
		t.Errorf("blocks of 300 bytes: got %d, want %d", got, want)
	}

	if got, want := short.Shared(long), short.Len(); got != want {
		t.Errorf("shared: got %d, want %d", got, want)
	}
}

// Two organisations send the same text. If their blocks had the same hash, the prompt of
// one would be completed from the KV cache of the other.
func TestScopesShareNoBlock(t *testing.T) {
	base := Scope{Salt: "a", Model: "m", Version: "v1"}
	text := strings.Repeat("x", 640)
	cases := []struct {
		name  string
		scope Scope
	}{
		{"organisation", Scope{Salt: "b", Model: "m", Version: "v1"}},
		{"model", Scope{Salt: "a", Model: "n", Version: "v1"}},
		{"version", Scope{Salt: "a", Model: "m", Version: "v2"}},
		{"adapter", Scope{Salt: "a", Model: "m", Version: "v1", Adapter: "legal"}},
		{"shifted", Scope{Salt: "am", Version: "v1"}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			other := map[Hash]bool{}
			for _, h := range c.scope.Chain(text, DefaultBlockTokens) {
				other[h] = true
			}

			for i, h := range base.Chain(text, DefaultBlockTokens) {
				if other[h] {
					t.Errorf("block %d: got a shared hash", i)
				}
			}
		})
	}
}

func TestRenderIsPrefixOfNextTurn(t *testing.T) {
	first := []Message{{"system", "be brief"}, {"user", "a seat?"}}
	next := append(first, Message{"assistant", "yes"}, Message{"user", "two?"})

	if got, want := Render(next), Render(first)+"yes\n"; !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want prefix %q", got, want)
	}
}

func BenchmarkChain(b *testing.B) {
	scope := Scope{Salt: "a", Model: "m", Version: "v1"}
	text := strings.Repeat("x", 32<<10)

	b.ReportAllocs()

	for b.Loop() {
		scope.Chain(text, DefaultBlockTokens)
	}
}
