package directory

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"boragehub/prompt"
)

var epoch = time.Unix(1_800_000_000, 0)

// chainOf returns the chain of the given block contents.
func chainOf(content []byte) prompt.Chain {
	chain := make(prompt.Chain, 0, len(content))
	parent := prompt.Hash{}

	for _, b := range content {
		parent = prompt.NextHash(parent, []byte{b})
		chain = append(chain, parent)
	}

	return chain
}

// heldContent is the oracle's record of one holding: the holder and the complete
// content that it holds.
type heldContent struct {
	holder  string
	content []byte
}

func sharedBytes(a, b []byte) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}

	return n
}

// The table is compared to an oracle that stores complete contents. A holding that
// reappears after its removal, or one reported with too many blocks, would make
// requests wait for imports that can't succeed.
func TestTableAgainstNaiveOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const stride = 4

		table := NewTable(Config{Stride: stride, MaxHoldings: 1000})
		anchor := prompt.Hash{1}
		now := epoch

		var oracle []heldContent

		contents := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 24)
		names := rapid.SampledFrom([]string{"engine-1", "engine-2", "engine-3"})

		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				name := names.Draw(t, "name")
				content := contents.Draw(t, "content")
				table.Record(now, anchor, chainOf(content), Holding{Name: name, Blocks: len(content)})

				kept := oracle[:0]
				for _, b := range oracle {
					// The table compares samples, so only full strides count.
					n := min(len(b.content), len(content)) / stride * stride
					if b.holder != name || sharedBytes(b.content, content) < n {
						kept = append(kept, b)
					}
				}

				oracle = kept
				if len(content) > 0 {
					oracle = append(oracle, heldContent{name, content})
				}
			},
			"forget": func(t *rapid.T) {
				name := names.Draw(t, "name")
				table.Remove(anchor, Engine, name, "")
				oracle = withoutHolder(oracle, name)
			},
			"forget holder": func(t *rapid.T) {
				name := names.Draw(t, "name")
				table.RemoveHolder(Engine, name)
				oracle = withoutHolder(oracle, name)
			},
			"": func(t *rapid.T) {
				content := contents.Draw(t, "lookup")
				got := table.Lookup(now, anchor, chainOf(content), nil)
				checkLookup(t, got, oracle, content, stride)
			},
		})
	})
}

func withoutHolder(all []heldContent, name string) []heldContent {
	var kept []heldContent

	for _, b := range all {
		if b.holder != name {
			kept = append(kept, b)
		}
	}

	return kept
}

// checkLookup compares a lookup to the oracle: a result must not have more blocks than
// its holder shares with content, and may have fewer by less than one stride.
func checkLookup(t *rapid.T, got []Holding, oracle []heldContent, content []byte, stride int) {
	count := map[string]int{}
	for i, h := range got {
		count[h.Name]++

		if i > 0 && h.Blocks > got[i-1].Blocks {
			t.Fatalf("holding %d: got %d blocks after %d, want most blocks first", i, h.Blocks, got[i-1].Blocks)
		}

		ok := false

		for _, b := range oracle {
			shared := sharedBytes(b.content, content)
			if b.holder == h.Name && h.Blocks <= shared && h.Blocks > shared-stride {
				ok = true
			}
		}

		if !ok {
			t.Fatalf("got %s with %d blocks, want no such holding", h.Name, h.Blocks)
		}
	}

	for _, b := range oracle {
		if sharedBytes(b.content, content) >= stride && count[b.holder] == 0 {
			t.Fatalf("got no holding of %s, want its %d blocks", b.holder, len(b.content))
		}
	}
}

func TestTableStaysWithinLimits(t *testing.T) {
	cases := []struct {
		name string
		cfg  Config
	}{
		{"contexts", Config{MaxContexts: 10}},
		{"bytes", Config{MaxBytes: 4096}},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(c.cfg)
			chain := chainOf(make([]byte, 64))

			for i := range 100 {
				table.Record(epoch, prompt.Hash{byte(i)}, chain, Holding{Name: "e", Blocks: 64})
			}

			if got := table.Evicted(); got == 0 {
				t.Errorf("evicted: got %d, want at least 1", got)
			}

			if got, want := len(table.Lookup(epoch, prompt.Hash{99}, chain, nil)), 1; got != want {
				t.Errorf("newest: got %d holdings, want %d", got, want)
			}

			if got := table.Bytes(); c.cfg.MaxBytes > 0 && got > c.cfg.MaxBytes {
				t.Errorf("bytes: got %d, want at most %d", got, c.cfg.MaxBytes)
			}
		})
	}
}

func TestExpiredEngineHoldingsAreOmitted(t *testing.T) {
	table := NewTable(Config{EngineTTL: time.Minute})
	chain := chainOf(make([]byte, 8))
	table.Record(epoch, prompt.Hash{}, chain, Holding{Name: "e", Blocks: 8})
	table.Record(epoch, prompt.Hash{}, chain, Holding{Kind: Store, Name: "s", Copy: "c", Blocks: 8})

	got := table.Lookup(epoch.Add(2*time.Minute), prompt.Hash{}, chain, nil)
	if len(got) != 1 || got[0].Name != "s" {
		t.Errorf("got %+v, want only the store's copy", got)
	}
}

// When an entry is removed, only its own anchors may get another owner: otherwise
// each replacement of an entry would invalidate most of the directory.
func TestRemovedOwnerMovesOnlyItsAnchors(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	all, fewer := NewOwners(members), NewOwners(members[:4])

	for i := range 1000 {
		anchor := prompt.NextHash(prompt.Hash{}, []byte{byte(i), byte(i >> 8)})
		before := all.Owner(anchor)

		if got := fewer.Owner(anchor); before != "e" && got != before {
			t.Fatalf("anchor %d: got %s, want %s", i, got, before)
		}
	}
}

// newFilledTable returns a table with n contexts of the given number of blocks, each
// with three holdings.
func newFilledTable(n, blocks int) (*Table, []prompt.Hash, prompt.Chain) {
	table := NewTable(Config{MaxContexts: n, MaxBytes: 1 << 40})
	anchors := make([]prompt.Hash, n)
	content := make([]byte, blocks)
	chain := chainOf(content)

	for i := range anchors {
		anchors[i] = prompt.NextHash(prompt.Hash{}, fmt.Append(nil, i))
		table.Record(epoch, anchors[i], chain, Holding{Name: "engine-1", Blocks: blocks / 2})
		table.Record(epoch, anchors[i], chain, Holding{Name: "engine-2", Blocks: blocks})
		table.Record(epoch, anchors[i], chain, Holding{Kind: Store, Name: "store-1", Copy: "id", Blocks: blocks})
	}

	return table, anchors, chain
}

// BenchmarkLookup measures one lookup and the memory of a context. The sizes are one
// owner's contexts today, ten times as many (also one owner's part in two years with
// 420 owners), and one owner's part in two years with 42 owners.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{300, 3_100, 31_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			table, anchors, chain := newFilledTable(n, 512)

			runtime.GC()
			runtime.ReadMemStats(&after)
			dst := make([]Holding, 0, 16)

			b.ReportAllocs()

			i := 0
			for b.Loop() {
				dst = table.Lookup(epoch, anchors[i%n], chain, dst[:0])
				i++
			}

			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-B/context")
			b.ReportMetric(float64(table.Bytes())/float64(n), "estimated-B/context")
		})
	}
}

func BenchmarkOwner420(b *testing.B) {
	members := make([]string, 420)
	for i := range members {
		members[i] = fmt.Sprintf("entry-%d", i)
	}

	owners := NewOwners(members)

	b.ReportAllocs()

	for b.Loop() {
		owners.Owner(prompt.Hash{1})
	}
}
