// Package sortedset has an ordered set for thousands of items that change often.
//
// The items lie in a list of sorted blocks of bounded length. A change searches for
// the block and then within it, both by halving, and moves the items of that one
// block. Up to a million items, moving the list of blocks costs less than following
// the pointers of a tree. Each block can carry a summary of its items, with which a
// search skips blocks that have no item that it wants.
package sortedset

import (
	"iter"
	"slices"
	"sort"
)

// maxBlock is the maximum number of items in a block. Moving half a block of pointers
// costs about as much as one cache miss.
const maxBlock = 128

// Set is an ordered set of items of type T with summaries of type S. It is not safe
// for concurrent use. What the order of an item depends on must not change while the
// item is in the set.
type Set[T, S any] struct {
	compare func(a, b T) int
	include func(summary S, item T) S
	blocks  []block[T, S]
	length  int
}

// block is never empty.
type block[T, S any] struct {
	items   []T
	summary S
}

// New returns an empty set. compare returns a negative number if a comes before b, and
// 0 if they are the same item. include returns a summary that covers one more item, the
// first one being added to the zero value; nil means that there are no summaries.
func New[T, S any](compare func(a, b T) int, include func(summary S, item T) S) *Set[T, S] {
	return &Set[T, S]{compare: compare, include: include}
}

// Len returns the number of items.
func (s *Set[T, S]) Len() int { return s.length }

// locate returns the position of the first item that doesn't come before x, and
// whether that is x. The position may be at the end of a block.
func (s *Set[T, S]) locate(x T) (b, i int, found bool) {
	b = max(sort.Search(len(s.blocks), func(n int) bool { return s.compare(s.blocks[n].items[0], x) > 0 })-1, 0)
	if b == len(s.blocks) {
		return b, 0, false
	}
	i, found = slices.BinarySearchFunc(s.blocks[b].items, x, s.compare)
	return b, i, found
}

// Insert adds an item. It reports false if the set has it already.
func (s *Set[T, S]) Insert(x T) bool {
	b, i, found := s.locate(x)
	if found {
		return false
	}
	s.length++
	if b == len(s.blocks) {
		s.blocks = append(s.blocks, block[T, S]{items: make([]T, 0, maxBlock)})
	}
	if len(s.blocks[b].items) == maxBlock {
		s.split(b)
		if i > len(s.blocks[b].items) {
			b, i = b+1, i-len(s.blocks[b].items)
		}
	}
	s.blocks[b].items = slices.Insert(s.blocks[b].items, i, x)
	if s.include != nil {
		s.blocks[b].summary = s.include(s.blocks[b].summary, x)
	}
	return true
}

// split moves the second half of a block into a new one.
func (s *Set[T, S]) split(b int) {
	items := s.blocks[b].items
	half := len(items) / 2
	upper := block[T, S]{items: append(make([]T, 0, maxBlock), items[half:]...)}
	clear(items[half:])
	s.blocks[b].items = items[:half]
	s.blocks = slices.Insert(s.blocks, b+1, upper)
	s.summarize(b)
	s.summarize(b + 1)
}

func (s *Set[T, S]) summarize(b int) {
	if s.include == nil {
		return
	}
	var sum S
	for _, x := range s.blocks[b].items {
		sum = s.include(sum, x)
	}
	s.blocks[b].summary = sum
}

// Delete removes an item. It reports false if the set doesn't have it.
func (s *Set[T, S]) Delete(x T) bool {
	b, i, found := s.locate(x)
	if !found {
		return false
	}
	s.length--
	s.blocks[b].items = slices.Delete(s.blocks[b].items, i, i+1)
	switch n := len(s.blocks[b].items); {
	case n == 0:
		s.blocks = slices.Delete(s.blocks, b, b+1)
		return true
	case b+1 < len(s.blocks) && n+len(s.blocks[b+1].items) <= maxBlock/2:
		s.blocks[b].items = append(s.blocks[b].items, s.blocks[b+1].items...)
		s.blocks = slices.Delete(s.blocks, b+1, b+2)
	}
	s.summarize(b)
	return true
}

// Min returns the first item; ok is false if the set is empty.
func (s *Set[T, S]) Min() (x T, ok bool) {
	if s.length == 0 {
		return x, false
	}
	return s.blocks[0].items[0], true
}

// Next returns the first item that comes after x, which need not be in the set.
func (s *Set[T, S]) Next(x T) (next T, ok bool) {
	b, i, found := s.locate(x)
	if found {
		i++
	}
	if b < len(s.blocks) && i == len(s.blocks[b].items) {
		b, i = b+1, 0
	}
	if b >= len(s.blocks) {
		return next, false
	}
	return s.blocks[b].items[i], true
}

// All iterates over the items in order. The set must not be changed meanwhile.
func (s *Set[T, S]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, b := range s.blocks {
			for _, x := range b.items {
				if !yield(x) {
					return
				}
			}
		}
	}
}

// Backward iterates over the items from the last to the first. The set must not be
// changed meanwhile.
func (s *Set[T, S]) Backward() iter.Seq[T] {
	return func(yield func(T) bool) {
		for _, b := range slices.Backward(s.blocks) {
			for _, x := range slices.Backward(b.items) {
				if !yield(x) {
					return
				}
			}
		}
	}
}

// Find returns the first item for which match returns true, among those that don't
// come before from. It skips the blocks for whose summary mayMatch returns false.
func (s *Set[T, S]) Find(from T, mayMatch func(summary S) bool, match func(item T) bool) (x T, ok bool) {
	b, i, _ := s.locate(from)
	for ; b < len(s.blocks); b, i = b+1, 0 {
		if !mayMatch(s.blocks[b].summary) {
			continue
		}
		for _, x := range s.blocks[b].items[i:] {
			if match(x) {
				return x, true
			}
		}
	}
	return x, false
}
