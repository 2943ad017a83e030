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
		parent = prompt.Next(parent, []byte{b})
		chain = append(chain, parent)
	}

	return chain
}

// belief is what the oracle keeps: the whole content held, by holder.
type belief struct {
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

// An entry routes by what the directory says. If a holding that was forgotten
// came back, or one were said to be deeper than it is, callers would wait for
// imports of nothing.
func TestTableAgainstNaiveOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const stride = 4

		table := NewTable(Config{Stride: stride, MaxHoldings: 1000})
		anchor := prompt.Hash{1}
		now := epoch

		var oracle []belief

		contents := rapid.SliceOfN(rapid.ByteRange(0, 1), 0, 24)
		names := rapid.SampledFrom([]string{"engine-1", "engine-2", "engine-3"})

		t.Repeat(map[string]func(*rapid.T){
			"learn": func(t *rapid.T) {
				name := names.Draw(t, "name")
				content := contents.Draw(t, "content")
				table.Learn(now, anchor, chainOf(content), Holding{Name: name, Blocks: len(content)})

				kept := oracle[:0]
				for _, b := range oracle {
					// One conversation as far as whole strides tell.
					n := min(len(b.content), len(content)) / stride * stride
					if b.holder != name || sharedBytes(b.content, content) < n {
						kept = append(kept, b)
					}
				}

				oracle = kept
				if len(content) > 0 {
					oracle = append(oracle, belief{name, content})
				}
			},
			"forget": func(t *rapid.T) {
				name := names.Draw(t, "name")
				table.Forget(anchor, Engine, name, "")
				oracle = without(oracle, name)
			},
			"forget holder": func(t *rapid.T) {
				name := names.Draw(t, "name")
				table.ForgetHolder(Engine, name)
				oracle = without(oracle, name)
			},
			"": func(t *rapid.T) {
				content := contents.Draw(t, "lookup")
				got := table.Lookup(now, anchor, chainOf(content), nil)
				check(t, got, oracle, content, stride)
			},
		})
	})
}

func without(all []belief, name string) []belief {
	var kept []belief

	for _, b := range all {
		if b.holder != name {
			kept = append(kept, b)
		}
	}

	return kept
}

// check compares a lookup to the oracle: never deeper than the truth, and short
// of it by less than a stride.
func check(t *rapid.T, got []Holding, oracle []belief, content []byte, stride int) {
	sum := map[string]int{}
	for i, h := range got {
		sum[h.Name]++

		if i > 0 && h.Blocks > got[i-1].Blocks {
			t.Fatalf("holding %d: got %d blocks after %d, want the deepest first", i, h.Blocks, got[i-1].Blocks)
		}

		ok := false

		for _, b := range oracle {
			truth := sharedBytes(b.content, content)
			if b.holder == h.Name && h.Blocks <= truth && h.Blocks > truth-stride {
				ok = true
			}
		}

		if !ok {
			t.Fatalf("got %s with %d blocks, want none such", h.Name, h.Blocks)
		}
	}

	for _, b := range oracle {
		if sharedBytes(b.content, content) >= stride && sum[b.holder] == 0 {
			t.Fatalf("got nothing of %s, want its %d blocks", b.holder, len(b.content))
		}
	}
}

func TestBoundsHold(t *testing.T) {
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
				table.Learn(epoch, prompt.Hash{byte(i)}, chain, Holding{Name: "e", Blocks: 64})
			}

			if got := table.Evicted(); got == 0 {
				t.Errorf("evicted: got %d, want some", got)
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

func TestOldBeliefsAboutEnginesAreLeftOut(t *testing.T) {
	table := NewTable(Config{EngineAge: time.Minute})
	chain := chainOf(make([]byte, 8))
	table.Learn(epoch, prompt.Hash{}, chain, Holding{Name: "e", Blocks: 8})
	table.Learn(epoch, prompt.Hash{}, chain, Holding{Kind: Store, Name: "s", Copy: "c", Blocks: 8})

	got := table.Lookup(epoch.Add(2*time.Minute), prompt.Hash{}, chain, nil)
	if len(got) != 1 || got[0].Name != "s" {
		t.Errorf("got %+v, want the store's copy only", got)
	}
}

// An entry goes: only its own contexts may move, or the whole fleet would lose
// what it knows at each replacement.
func TestOwnerMovesOnlyWhatItHad(t *testing.T) {
	members := []string{"a", "b", "c", "d", "e"}
	all, fewer := NewOwners(members), NewOwners(members[:4])

	for i := range 1000 {
		anchor := prompt.Next(prompt.Hash{}, []byte{byte(i), byte(i >> 8)})
		before := all.Owner(anchor)

		if got := fewer.Owner(anchor); before != "e" && got != before {
			t.Fatalf("anchor %d: got %s, want %s", i, got, before)
		}
	}
}

// filled returns a table with n contexts of the given blocks and three holdings each.
func filled(n, blocks int) (*Table, []prompt.Hash, prompt.Chain) {
	table := NewTable(Config{MaxContexts: n, MaxBytes: 1 << 40})
	anchors := make([]prompt.Hash, n)
	content := make([]byte, blocks)
	chain := chainOf(content)

	for i := range anchors {
		anchors[i] = prompt.Next(prompt.Hash{}, fmt.Append(nil, i))
		table.Learn(epoch, anchors[i], chain, Holding{Name: "engine-1", Blocks: blocks / 2})
		table.Learn(epoch, anchors[i], chain, Holding{Name: "engine-2", Blocks: blocks})
		table.Learn(epoch, anchors[i], chain, Holding{Kind: Store, Name: "store-1", Copy: "id", Blocks: blocks})
	}

	return table, anchors, chain
}

// BenchmarkLookup measures one lookup and the memory of a context in tables of
// today's size, ten times it, and one owner's part in two years with 420 and
// with 42 owners.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{300, 3_100, 31_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats

			runtime.GC()
			runtime.ReadMemStats(&before)

			table, anchors, chain := filled(n, 512)

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
