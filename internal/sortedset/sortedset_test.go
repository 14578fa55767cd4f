package sortedset

import (
	"cmp"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

type item struct{ key, weight int }

// TestSetAgainstSlice compares a set with a sorted slice over random changes. There are
// enough items for many blocks, which are split and merged.
func TestSetAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compare := func(a, b item) int { return cmp.Compare(a.key, b.key) }
		s := New(compare, func(m int, x item) int { return max(m, x.weight) })
		var want []item
		keys := rapid.IntRange(1, 5*maxBlock).Draw(t, "keys")
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			inserts := rapid.IntRange(0, 100).Draw(t, "inserts")
			seed := rapid.IntRange(0, 1<<20).Draw(t, "seed")
			for n := range 200 {
				seed = (seed*1103515245 + 12345) & (1<<31 - 1)
				x := item{seed >> 8 % keys, seed >> 3 % 1000}
				i, found := slices.BinarySearchFunc(want, x, compare)
				if n%100 < inserts {
					if s.Insert(x) == found {
						t.Fatalf("Insert(%v) returned %v", x, found)
					}
					if !found {
						want = slices.Insert(want, i, x)
					}
					continue
				}
				if s.Delete(x) != found {
					t.Fatalf("Delete(%v) returned %v", x, !found)
				}
				if found {
					want = slices.Delete(want, i, i+1)
				}
			}
			checkSame(t, s, want, item{rapid.IntRange(-1, keys).Draw(t, "from"), 0}, rapid.IntRange(0, 1000).Draw(t, "weight"))
		}
	})
}

func checkSame(t *rapid.T, s *Set[item, int], want []item, from item, weight int) {
	backward := slices.Collect(s.Backward())
	slices.Reverse(backward)
	if got := slices.Collect(s.All()); !slices.Equal(got, want) || !slices.Equal(backward, want) || s.Len() != len(want) {
		t.Fatalf("the set has %v, want %v", got, want)
	}
	if x, ok := s.Min(); ok != (len(want) > 0) || ok && x != want[0] {
		t.Fatalf("Min returned %v, %v", x, ok)
	}
	i := slices.IndexFunc(want, func(x item) bool { return x.key > from.key })
	if x, ok := s.Next(from); ok != (i >= 0) || ok && x != want[i] {
		t.Fatalf("Next(%v) returned %v, %v", from, x, ok)
	}
	i = slices.IndexFunc(want, func(x item) bool { return x.key >= from.key && x.weight >= weight })
	skipped := func(m int) bool { return m >= weight }
	if x, ok := s.Find(from, skipped, func(x item) bool { return x.weight >= weight }); ok != (i >= 0) || ok && x != want[i] {
		t.Fatalf("Find(%v, %d) returned %v, %v", from, weight, x, ok)
	}
	for _, b := range s.blocks {
		if len(b.items) == 0 || len(b.items) > maxBlock {
			t.Fatalf("a block has %d items", len(b.items))
		}
		most := 0
		for _, x := range b.items {
			most = max(most, x.weight)
		}
		if most != b.summary {
			t.Fatalf("the summary is %d, want %d", b.summary, most)
		}
	}
}
