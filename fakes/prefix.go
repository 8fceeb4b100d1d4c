package fakes

import (
	"container/list"
	"strings"

	"currantwick"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the length of the blocks in which prefixes are cached.
const blockTokens wick.Tokens = 16

// prefixCache remembers which prefixes of prompts were computed, block by
// block, and forgets those used longest ago.
type prefixCache struct {
	// blocks is how many blocks fit.
	blocks int
	order  *list.List // of block keys, last used first
	byKey  map[uint64]*list.Element
}

func newPrefixCache(size wick.Tokens) *prefixCache {
	return &prefixCache{
		blocks: int(size / blockTokens),
		order:  list.New(),
		byKey:  map[uint64]*list.Element{},
	}
}

// use returns how many leading tokens of a prompt were cached, and caches all
// its whole blocks. Adapters share no prefix, since their weights differ.
func (p *prefixCache) use(model, prompt string) wick.Tokens {
	words := strings.Fields(prompt)
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	hit, unbroken := wick.Tokens(0), true
	for len(words) >= int(blockTokens) {
		for _, w := range words[:blockTokens] {
			_, _ = digest.WriteString(" " + w)
		}
		words = words[blockTokens:]
		unbroken = p.touch(digest.Sum64()) && unbroken
		if unbroken {
			hit += blockTokens
		}
	}
	return hit
}

// touch makes a block the last used one and reports whether it was there.
func (p *prefixCache) touch(key uint64) bool {
	if e, ok := p.byKey[key]; ok {
		p.order.MoveToFront(e)
		return true
	}
	if p.blocks == 0 {
		return false
	}
	if p.order.Len() >= p.blocks {
		old := p.order.Remove(p.order.Back()).(uint64)
		delete(p.byKey, old)
	}
	p.byKey[key] = p.order.PushFront(key)
	return false
}
