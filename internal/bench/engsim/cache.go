package engsim

import (
	"container/list"

	"github.com/zeebo/xxh3"
)

const (
	// blockTokens is the number of tokens in a block of the prefix cache.
	blockTokens = 16
	// blockBytes is the size of the text of a block.
	blockBytes = blockTokens * bytesPerToken
)

// block is one block of the prefix cache.
type block struct {
	hash uint64
	ref  AdapterRef
}

// prefixCache holds the most recently used blocks of prompts. What is cached for
// one adapter is of no use to another.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	order  *list.List
	notify func(kind string, block block)
}

// newPrefixCache returns an empty cache that reports its changes.
func newPrefixCache(limit int, notify func(kind string, block block)) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[uint64]*list.Element{}, order: list.New(), notify: notify}
}

// hashes returns the hash of each full block of a prompt, each of which covers
// all blocks before it.
func hashes(ref AdapterRef, prompt string) []uint64 {
	hash := xxh3.HashString(ref.String())
	var all []uint64
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		hash = xxh3.HashStringSeed(prompt[:blockBytes], hash)
		all = append(all, hash)
	}
	return all
}

// lookup returns the number of a prompt's tokens that are cached.
func (cache *prefixCache) lookup(ref AdapterRef, prompt string) int64 {
	found := int64(0)
	for _, hash := range hashes(ref, prompt) {
		element, ok := cache.blocks[hash]
		if !ok {
			break
		}
		cache.order.MoveToFront(element)
		found += blockTokens
	}
	return found
}

// store adds the blocks of a prompt and removes the least recently used ones.
func (cache *prefixCache) store(ref AdapterRef, prompt string) {
	for _, hash := range hashes(ref, prompt) {
		if element, ok := cache.blocks[hash]; ok {
			cache.order.MoveToFront(element)
			continue
		}
		added := block{hash, ref}
		cache.blocks[hash] = cache.order.PushFront(added)
		cache.notify(eventStored, added)
	}
	for cache.order.Len() > cache.limit {
		oldest, _ := cache.order.Remove(cache.order.Back()).(block)
		delete(cache.blocks, oldest.hash)
		cache.notify(eventRemoved, oldest)
	}
}
