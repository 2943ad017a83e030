package site

import "testing"

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	c := New(Published{Routes: []Route{
		{Name: "all", Host: "desk.example", Prefix: "/"},
		{Name: "seats", Host: "desk.example", Prefix: "/seats/"},
		{Name: "other", Host: "kiosk.example", Prefix: "/seats/"},
	}})

	tests := []struct{ host, path, want string }{
		{"desk.example", "/seats/42", "seats"},
		{"DESK.example:8005", "/seats/42", "seats"},
		{"desk.example", "/seat", "all"},
		{"kiosk.example", "/seats/1", "other"},
		{"kiosk.example", "/", ""},
		{"nobody.example", "/seats/1", ""},
	}

	for _, tt := range tests {
		got := ""
		if r, ok := c.Match(tt.host, tt.path); ok {
			got = r.Name
		}

		if got != tt.want {
			t.Errorf("Match(%q, %q): got %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	got := map[string]int{}

	for draw := range uint64(100) {
		got[r.Pick(draw)]++
	}

	if got["a"] != 90 || got["b"] != 10 {
		t.Errorf("got %v, want 90 of a and 10 of b", got)
	}
}

func TestOnlyIdempotentAndResumableAreRepeatable(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: AtMostOnce}, false},
		{Route{Kind: Idempotent}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{Kind: AtMostOnce, Resumable: true}, false},
	}

	for _, tt := range tests {
		if got := tt.route.Retryable(); got != tt.want {
			t.Errorf("%v resumable %v: got %v, want %v", tt.route.Kind, tt.route.Resumable, got, tt.want)
		}
	}
}

// Guards against cached contexts that are shared although another set of organisations is isolated, and against a change
// that isolates nobody and has all contexts computed again.
func TestApartIdentifiesTheIsolatedOrganisations(t *testing.T) {
	of := func(organisations ...Organisation) string {
		return New(Published{Organisations: organisations}).Apart()
	}
	a, b, plain := Organisation{Name: "a", Isolated: true}, Organisation{Name: "b", Isolated: true}, Organisation{Name: "c"}

	for _, tt := range []struct {
		name      string
		got, want string
		equal     bool
	}{
		{"none isolated", of(plain), "", true},
		{"another order and other organisations", of(a, plain, b), of(b, a), true},
		{"keys change", of(a), of(Organisation{Name: "a", Isolated: true, Keys: []string{"k"}}), true},
		{"one more", of(a), of(a, b), false},
		{"another one", of(a), of(b), false},
		{"names that join to the same text", of(a, b), of(Organisation{Name: `a""b`, Isolated: true}), false},
	} {
		if (tt.got == tt.want) != tt.equal {
			t.Errorf("%s: got %q and %q, want equal: %v", tt.name, tt.got, tt.want, tt.equal)
		}
	}
}
