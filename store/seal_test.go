package store

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"boragehub/failure"
	"boragehub/prompt"
)

func testHeader() Header {
	return Header{ID: "c1", Organisation: "bureau", Model: "casemodel", Version: "v1", Chain: prompt.Chain{{1}, {2}, {3}}}
}

func TestSealedCopyOpens(t *testing.T) {
	want := []byte("the blocks of a context")

	b, err := Seal(testHeader(), want)
	if err != nil {
		t.Fatal(err)
	}

	got, blocks, err := Open(b, testHeader())
	if err != nil || !bytes.Equal(got, want) || blocks != 3 {
		t.Errorf("got %q %d %v, want %q 3", got, blocks, err, want)
	}
}

// Guards against counting blocks that the prompt doesn't share: when a caller
// asks for another response or edits a turn, the prompt diverges before the end
// of the copy, and only the blocks before that point are usable.
func TestOpenReturnsSharedBlockCount(t *testing.T) {
	b, err := Seal(testHeader(), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}

	cases := []struct {
		name  string
		chain prompt.Chain
		want  int
	}{
		{"prompt extends the copy", prompt.Chain{{1}, {2}, {3}, {4}}, 3},
		{"prompt ends within the copy", prompt.Chain{{1}, {2}}, 2},
		{"prompt diverges from the copy", prompt.Chain{{1}, {8}, {9}, {7}}, 1},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := testHeader()
			want.Chain = c.chain

			_, got, err := Open(b, want)
			if err != nil || got != c.want {
				t.Errorf("got %d %v, want %d", got, err, c.want)
			}
		})
	}
}

// Guards against responses from another context: a store may return another
// copy than the one asked for, because it reused the place of a deleted one or
// confused two ids.
func TestForeignCopyIsAMiss(t *testing.T) {
	b, err := Seal(testHeader(), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}

	cases := []struct {
		name   string
		change func(*Header)
	}{
		{"id", func(h *Header) { h.ID = "c2" }},
		{"organisation", func(h *Header) { h.Organisation = "transit" }},
		{"model", func(h *Header) { h.Model = "boragehub-llm" }},
		{"version", func(h *Header) { h.Version = "v2" }},
		{"adapter", func(h *Header) { h.Adapter = "legal" }},
		{"chain", func(h *Header) { h.Chain = prompt.Chain{{9}, {2}, {3}} }},
		{"no chain", func(h *Header) { h.Chain = nil }},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want := testHeader()
			c.change(&want)

			_, _, err := Open(b, want)
			if got, want := failure.KindOf(err), failure.TornCopy; err == nil || got != want {
				t.Errorf("got %v (%v), want %v", got, err, want)
			}
		})
	}
}

// Guards against the use of damaged copies, which would give the caller a wrong
// response without an error: a store VM may crash during a write, a connection
// may truncate a copy, or memory may flip a bit.
func TestDamagedCopyIsAMiss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")

		b, err := Seal(testHeader(), body)
		if err != nil {
			t.Fatal(err)
		}

		cut := rapid.IntRange(0, len(b)-1).Draw(t, "cut")
		if _, _, err := Open(b[:cut], testHeader()); failure.KindOf(err) != failure.TornCopy {
			t.Fatalf("truncated to %d of %d bytes: got %v, want %v", cut, len(b), err, failure.TornCopy)
		}

		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")

		if _, _, err := Open(b, testHeader()); failure.KindOf(err) != failure.TornCopy {
			t.Fatalf("bit flipped in byte %d of %d: got %v, want %v", at, len(b), err, failure.TornCopy)
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	sealed, err := Seal(testHeader(), make([]byte, 1<<20))
	if err != nil {
		b.Fatal(err)
	}

	b.SetBytes(int64(len(sealed)))
	b.ReportAllocs()

	for b.Loop() {
		if _, _, err := Open(sealed, testHeader()); err != nil {
			b.Fatal(err)
		}
	}
}
