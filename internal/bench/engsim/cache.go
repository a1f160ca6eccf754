package engsim

import (
	"container/list"

	"github.com/zeebo/xxh3"
)

const (
	// blockTokens is the number of tokens in a block of the prefix cache.
	blockTokens = 16
	// blockBytes is the size of a block's text in bytes.
	blockBytes = blockTokens * bytesPerToken
)

// block is one block of the prefix cache.
type block struct {
	hash uint64
	ref  AdapterRef
}

// prefixCache is an LRU cache of prompt blocks. Blocks of one adapter are not
// reused for another, as the adapter changes their contents.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]*list.Element
	// recency lists the blocks, the most recently used first.
	recency  *list.List
	onChange func(kind string, block block)
}

// newPrefixCache returns an empty cache that calls onChange for each block that
// it adds or evicts.
func newPrefixCache(maxBlocks int, onChange func(kind string, block block)) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blocks: map[uint64]*list.Element{}, recency: list.New(), onChange: onChange}
}

// blockHashes returns the hash of each full block of a prompt. A hash covers the
// block and all blocks before it.
func blockHashes(ref AdapterRef, prompt string) []uint64 {
	hash := xxh3.HashString(ref.String())
	var hashes []uint64
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		hash = xxh3.HashStringSeed(prompt[:blockBytes], hash)
		hashes = append(hashes, hash)
	}
	return hashes
}

// lookup returns the number of tokens in the longest cached prefix of a prompt.
func (cache *prefixCache) lookup(ref AdapterRef, prompt string) int64 {
	found := int64(0)
	for _, hash := range blockHashes(ref, prompt) {
		element, ok := cache.blocks[hash]
		if !ok {
			break
		}
		cache.recency.MoveToFront(element)
		found += blockTokens
	}
	return found
}

// store adds the blocks of a prompt and evicts the least recently used blocks.
func (cache *prefixCache) store(ref AdapterRef, prompt string) {
	for _, hash := range blockHashes(ref, prompt) {
		if element, ok := cache.blocks[hash]; ok {
			cache.recency.MoveToFront(element)
			continue
		}
		added := block{hash, ref}
		cache.blocks[hash] = cache.recency.PushFront(added)
		cache.onChange(eventStored, added)
	}
	for cache.recency.Len() > cache.maxBlocks {
		oldest, _ := cache.recency.Remove(cache.recency.Back()).(block)
		delete(cache.blocks, oldest.hash)
		cache.onChange(eventRemoved, oldest)
	}
}
