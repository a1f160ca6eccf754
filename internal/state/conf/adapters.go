package conf

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"sort"
)

const (
	// maxBlockEntries bounds the number of adapters in one block. A patch of one
	// adapter copies one block of about 15 KB and the list of blocks, which has
	// about 3 KB for 170,000 adapters.
	maxBlockEntries = 512
	// mergeThreshold is the number of adapters below which two neighbouring
	// blocks are merged.
	mergeThreshold = maxBlockEntries / 4
)

// editToken identifies an edit. Blocks and lists that carry the token of the
// current edit are its private copies and may be changed in place.
type editToken struct{ _ byte }

// adapters holds the adapters in blocks, ordered by name. Configurations share
// blocks; an edit copies a block before it changes it.
type adapters struct {
	blocks []*block
	count  int
	names  *nameTable
	// blocksOwner and namesOwner are the tokens of the edits that copied blocks
	// and names.
	blocksOwner *editToken
	namesOwner  *editToken
}

// nameTable numbers the names of the adapters' organisations and services, so
// that each name is stored once.
type nameTable struct {
	list  []string
	index map[string]uint32
}

// block holds consecutive adapters. Each is encoded as the length of its name,
// its name, the numbers of its organisation and service, its default version,
// the count of its versions, and the differences between successive versions.
type block struct {
	data []byte
	// offsets holds where each adapter's encoding starts in data.
	offsets []uint32
	owner   *editToken
}

func newAdapters() adapters {
	return adapters{names: &nameTable{list: []string{""}, index: map[string]uint32{"": 0}}}
}

// consecutiveVersions holds the numbers from 1 up. Versions that are
// consecutive numbers are returned as a part of it, so that looking up an
// adapter seldom allocates.
var consecutiveVersions = func() []uint32 {
	numbers := make([]uint32, 1024)
	for index := range numbers {
		numbers[index] = uint32(index + 1)
	}
	return numbers
}()

func (adapters *adapters) get(name string) (AdapterSpec, bool) {
	index := adapters.findBlock(name)
	if index < 0 {
		return AdapterSpec{}, false
	}
	block := adapters.blocks[index]
	entry, ok := block.search(name)
	if !ok {
		return AdapterSpec{}, false
	}
	return adapters.decode(block, entry, name), true
}

// all iterates over the adapters in the order of their names.
func (adapters *adapters) all() iter.Seq[AdapterSpec] {
	return func(yield func(AdapterSpec) bool) {
		for _, block := range adapters.blocks {
			for entry := range block.offsets {
				if !yield(adapters.decode(block, entry, string(block.name(entry)))) {
					return
				}
			}
		}
	}
}

// findBlock returns the index of the only block that can hold the name, or -1
// if there are no blocks.
func (adapters *adapters) findBlock(name string) int {
	after := sort.Search(len(adapters.blocks), func(index int) bool {
		return string(adapters.blocks[index].name(0)) > name
	})
	if after == 0 && len(adapters.blocks) > 0 {
		return 0
	}
	return after - 1
}

func (adapters *adapters) decode(block *block, entry int, name string) AdapterSpec {
	data := block.data[block.offsets[entry]:]
	read := func() uint64 {
		value, size := binary.Uvarint(data)
		data = data[size:]
		return value
	}
	data = data[read():]
	spec := AdapterSpec{Name: name}
	spec.Organisation = adapters.names.list[read()]
	spec.Service = adapters.names.list[read()]
	spec.DefaultVersion = uint32(read())
	count := int(read())
	if count == 0 {
		return spec
	}
	first := uint32(read())
	consecutive := true
	differences := data
	for range count - 1 {
		consecutive = read() == 1 && consecutive
	}
	last := uint64(first) + uint64(count) - 1
	if consecutive && first > 0 && last <= uint64(len(consecutiveVersions)) {
		spec.Versions = consecutiveVersions[first-1 : last : last]
		return spec
	}
	spec.Versions = make([]uint32, count)
	spec.Versions[0] = first
	data = differences
	for index := 1; index < count; index++ {
		spec.Versions[index] = spec.Versions[index-1] + uint32(read())
	}
	return spec
}

func (block *block) name(entry int) []byte {
	data := block.data[block.offsets[entry]:]
	length, size := binary.Uvarint(data)
	return data[size : size+int(length)]
}

// search returns the index of the name and whether it is present. If it is not,
// the index is where the name would be inserted.
func (block *block) search(name string) (int, bool) {
	return sort.Find(len(block.offsets), func(entry int) int {
		found := block.name(entry)
		switch {
		case name < string(found):
			return -1
		case name > string(found):
			return 1
		}
		return 0
	})
}

// put adds or replaces an adapter.
func (adapters *adapters) put(token *editToken, spec AdapterSpec) {
	encoded := adapters.encode(token, spec)
	adapters.ownBlocks(token)
	index := adapters.findBlock(spec.Name)
	if index < 0 {
		adapters.blocks = append(adapters.blocks, &block{owner: token})
		index = 0
	}
	entry, replaced := adapters.blocks[index].search(spec.Name)
	block := adapters.ownBlock(token, index)
	if replaced {
		block.splice(entry, 1, encoded)
		return
	}
	block.splice(entry, 0, encoded)
	adapters.count++
	if len(block.offsets) > maxBlockEntries {
		adapters.split(token, index, entry)
	}
}

// remove removes an adapter if it exists.
func (adapters *adapters) remove(token *editToken, name string) {
	index := adapters.findBlock(name)
	if index < 0 {
		return
	}
	entry, ok := adapters.blocks[index].search(name)
	if !ok {
		return
	}
	adapters.ownBlocks(token)
	adapters.ownBlock(token, index).splice(entry, 1, nil)
	adapters.count--
	adapters.merge(token, index)
}

func (adapters *adapters) encode(token *editToken, spec AdapterSpec) []byte {
	data := binary.AppendUvarint(nil, uint64(len(spec.Name)))
	data = append(data, spec.Name...)
	data = binary.AppendUvarint(data, uint64(adapters.nameNumber(token, spec.Organisation)))
	data = binary.AppendUvarint(data, uint64(adapters.nameNumber(token, spec.Service)))
	data = binary.AppendUvarint(data, uint64(spec.DefaultVersion))
	data = binary.AppendUvarint(data, uint64(len(spec.Versions)))
	var last uint32
	for _, version := range spec.Versions {
		// If versions are not ascending the difference wraps around, and wraps
		// back when it is added during decoding.
		data = binary.AppendUvarint(data, uint64(version-last))
		last = version
	}
	return data
}

func (adapters *adapters) nameNumber(token *editToken, name string) uint32 {
	if number, ok := adapters.names.index[name]; ok {
		return number
	}
	if adapters.namesOwner != token {
		adapters.names = &nameTable{list: slices.Clone(adapters.names.list), index: maps.Clone(adapters.names.index)}
		adapters.namesOwner = token
	}
	number := uint32(len(adapters.names.list))
	adapters.names.list = append(adapters.names.list, name)
	adapters.names.index[name] = number
	return number
}

// ownBlocks copies the list of blocks unless this edit has already done so.
func (adapters *adapters) ownBlocks(token *editToken) {
	if adapters.blocksOwner != token {
		adapters.blocks = slices.Clone(adapters.blocks)
		adapters.blocksOwner = token
	}
}

func (adapters *adapters) ownBlock(token *editToken, index int) *block {
	shared := adapters.blocks[index]
	if shared.owner == token {
		return shared
	}
	copied := &block{data: slices.Clone(shared.data), offsets: slices.Clone(shared.offsets), owner: token}
	adapters.blocks[index] = copied
	return copied
}

// splice replaces count entries with one encoded entry, or removes them if
// encoded is nil.
func (block *block) splice(entry, count int, encoded []byte) {
	start, end := block.offset(entry), block.offset(entry+count)
	block.data = slices.Replace(block.data, start, end, encoded...)
	var added []uint32
	if encoded != nil {
		added = []uint32{uint32(start)}
	}
	block.offsets = slices.Replace(block.offsets, entry, entry+count, added...)
	shift := uint32(len(encoded) - (end - start))
	for index := entry + len(added); index < len(block.offsets); index++ {
		block.offsets[index] += shift
	}
}

func (block *block) offset(entry int) int {
	if entry == len(block.offsets) {
		return len(block.data)
	}
	return int(block.offsets[entry])
}

// split divides a full block into two. If the last insertion was at the end of
// the block, it splits there, so that putting adapters in the order of their
// names leaves full blocks.
func (adapters *adapters) split(token *editToken, index, inserted int) {
	full := adapters.blocks[index]
	middle := len(full.offsets) / 2
	if inserted == len(full.offsets)-1 {
		middle = inserted
	}
	left, right := full.copyRange(token, 0, middle), full.copyRange(token, middle, len(full.offsets))
	adapters.blocks = slices.Replace(adapters.blocks, index, index+1, left, right)
}

func (full *block) copyRange(token *editToken, from, to int) *block {
	start, end := full.offset(from), full.offset(to)
	part := &block{data: slices.Clone(full.data[start:end]), offsets: slices.Clone(full.offsets[from:to]), owner: token}
	for entry := range part.offsets {
		part.offsets[entry] -= uint32(start)
	}
	return part
}

// merge removes the block at index if it is empty, and merges it with its
// neighbour if both are below mergeThreshold.
func (adapters *adapters) merge(token *editToken, index int) {
	if len(adapters.blocks[index].offsets) == 0 {
		adapters.blocks = slices.Delete(adapters.blocks, index, index+1)
		return
	}
	if index+1 == len(adapters.blocks) {
		index--
	}
	if index < 0 || len(adapters.blocks[index].offsets) >= mergeThreshold || len(adapters.blocks[index+1].offsets) >= mergeThreshold {
		return
	}
	left, right := adapters.ownBlock(token, index), adapters.blocks[index+1]
	for _, start := range right.offsets {
		left.offsets = append(left.offsets, start+uint32(len(left.data)))
	}
	left.data = append(left.data, right.data...)
	adapters.blocks = slices.Delete(adapters.blocks, index+1, index+2)
}

// trimCapacity releases unused capacity of the blocks that the edit changed.
func (adapters *adapters) trimCapacity(token *editToken) {
	if adapters.blocksOwner != token {
		return
	}
	for _, block := range adapters.blocks {
		if block.owner != token {
			continue
		}
		if cap(block.data) > len(block.data)+len(block.data)/8 {
			block.data = append(make([]byte, 0, len(block.data)), block.data...)
		}
		if cap(block.offsets) > len(block.offsets)+len(block.offsets)/8 {
			block.offsets = append(make([]uint32, 0, len(block.offsets)), block.offsets...)
		}
	}
}
