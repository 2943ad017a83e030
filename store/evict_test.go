package store

import (
	"fmt"
	"testing"
)

// copyMadeAt returns a copy created ms milliseconds after the Unix epoch.
func copyMadeAt(ms int, bytes int64) Object {
	return Object{ID: fmt.Sprintf("%08x-%04x-7000-8000-000000000000.4", ms>>16, ms&0xffff), Bytes: bytes}
}

func TestOldest(t *testing.T) {
	all := []Object{copyMadeAt(300, 10), copyMadeAt(100, 10), {ID: "notes.txt", Bytes: 1000}, copyMadeAt(200, 10)}
	cases := []struct {
		name string
		n    int64
		want []Object
	}{
		{"one eviction suffices", 10, []Object{copyMadeAt(100, 10)}},
		{"two evictions needed", 11, []Object{copyMadeAt(100, 10), copyMadeAt(200, 10)}},
		{"all copies together too small", 31, nil},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, want := fmt.Sprint(EvictionCandidates(all, c.n)), fmt.Sprint(c.want); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

func TestCopyID(t *testing.T) {
	id, err := NewCopyID(45)
	if err != nil {
		t.Fatal(err)
	}

	got, err := ParseCopyID(id.String())
	if err != nil || got != id || got.Blocks() != 45 {
		t.Errorf("got %v %v, want %v", got, err, id)
	}

	for _, bad := range []string{"", "x.1", id.id.String(), id.id.String() + ".0", "00000000-0000-4000-8000-000000000000.1"} {
		if got, err := ParseCopyID(bad); err == nil {
			t.Errorf("%q: got %v, want an error", bad, got)
		}
	}
}
