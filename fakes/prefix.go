package fakes

import (
	"container/list"
	"strings"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the length of the blocks in which prefixes are cached.
const blockTokens wick.Tokens = 16

// prefixCache is an LRU cache of the prompt prefixes that were computed, in
// blocks.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	recent   *list.List // block keys, most recently used first
	byKey    map[uint64]*list.Element
}

func newPrefixCache(size wick.Tokens) *prefixCache {
	return &prefixCache{
		capacity: int(size / blockTokens),
		recent:   list.New(),
		byKey:    map[uint64]*list.Element{},
	}
}

// use returns how many leading tokens of a prompt were cached, and caches all
// its full blocks. Adapters share no prefix, since their weights differ.
func (p *prefixCache) use(model, prompt string) wick.Tokens {
	words := strings.Fields(prompt)
	hash := xxhash.New()
	_, _ = hash.WriteString(model)
	cached, contiguous := wick.Tokens(0), true
	for len(words) >= int(blockTokens) {
		for _, w := range words[:blockTokens] {
			_, _ = hash.WriteString(" " + w)
		}
		words = words[blockTokens:]
		contiguous = p.touch(hash.Sum64()) && contiguous
		if contiguous {
			cached += blockTokens
		}
	}
	return cached
}

// touch makes a block the most recently used one, and reports whether it was
// cached before.
func (p *prefixCache) touch(key uint64) bool {
	if e, ok := p.byKey[key]; ok {
		p.recent.MoveToFront(e)
		return true
	}
	if p.capacity == 0 {
		return false
	}
	if p.recent.Len() >= p.capacity {
		old := p.recent.Remove(p.recent.Back()).(uint64)
		delete(p.byKey, old)
	}
	p.byKey[key] = p.recent.PushFront(key)
	return false
}
