package conf

import (
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"sort"
)

const (
	// maxBlock bounds the adapters of one block. A patch copies one block of
	// about 15 KB and the list of blocks, about 3 KB for 170,000 adapters.
	maxBlock = 512
	// mergeBlock is the size below which a block is joined with a neighbour of
	// this size.
	mergeBlock = maxBlock / 4
)

// edit marks the blocks that an Editor may change in place.
type edit struct{ _ byte }

// adapters holds the adapters ordered by name in blocks. Blocks are shared
// between configurations and copied when they are first changed.
type adapters struct {
	blocks []*block
	count  int
	names  *names
	// listed and named mark the copies of blocks and names made by an edit.
	listed *edit
	named  *edit
}

// names numbers the organisations and services of adapters.
type names struct {
	list  []string
	index map[string]uint32
}

// block holds consecutive adapters, each encoded as its name's length and name,
// the numbers of its organisation and service, its default version, and the
// count and differences of its versions.
type block struct {
	data   []byte
	starts []uint32
	owner  *edit
}

func newAdapters() adapters {
	return adapters{names: &names{list: []string{""}, index: map[string]uint32{"": 0}}}
}

// runs backs the versions of adapters that are consecutive numbers up to its
// length, so that looking up an adapter seldom allocates.
var runs = func() []uint32 {
	numbers := make([]uint32, 1024)
	for index := range numbers {
		numbers[index] = uint32(index + 1)
	}
	return numbers
}()

func (adapters *adapters) get(name string) (AdapterSpec, bool) {
	index := adapters.block(name)
	if index < 0 {
		return AdapterSpec{}, false
	}
	block := adapters.blocks[index]
	entry, ok := block.search(name)
	if !ok {
		return AdapterSpec{}, false
	}
	return adapters.spec(block, entry, name), true
}

// all iterates in the order of names.
func (adapters *adapters) all() iter.Seq[AdapterSpec] {
	return func(yield func(AdapterSpec) bool) {
		for _, block := range adapters.blocks {
			for entry := range block.starts {
				if !yield(adapters.spec(block, entry, string(block.name(entry)))) {
					return
				}
			}
		}
	}
}

// block returns the index of the block that holds a name if any does, or -1
// when there is no block.
func (adapters *adapters) block(name string) int {
	after := sort.Search(len(adapters.blocks), func(index int) bool {
		return string(adapters.blocks[index].name(0)) > name
	})
	if after == 0 && len(adapters.blocks) > 0 {
		return 0
	}
	return after - 1
}

func (adapters *adapters) spec(block *block, entry int, name string) AdapterSpec {
	data := block.data[block.starts[entry]:]
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
	run := true
	rest := data
	for range count - 1 {
		run = read() == 1 && run
	}
	last := uint64(first) + uint64(count) - 1
	if run && first > 0 && last <= uint64(len(runs)) {
		spec.Versions = runs[first-1 : last : last]
		return spec
	}
	spec.Versions = make([]uint32, count)
	spec.Versions[0] = first
	data = rest
	for index := 1; index < count; index++ {
		spec.Versions[index] = spec.Versions[index-1] + uint32(read())
	}
	return spec
}

func (block *block) name(entry int) []byte {
	data := block.data[block.starts[entry]:]
	length, size := binary.Uvarint(data)
	return data[size : size+int(length)]
}

// search returns where a name is, or where it would be inserted.
func (block *block) search(name string) (int, bool) {
	return sort.Find(len(block.starts), func(entry int) int {
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
func (adapters *adapters) put(edit *edit, spec AdapterSpec) {
	encoded := adapters.encode(edit, spec)
	adapters.own(edit)
	index := adapters.block(spec.Name)
	if index < 0 {
		adapters.blocks = append(adapters.blocks, &block{owner: edit})
		index = 0
	}
	entry, replaced := adapters.blocks[index].search(spec.Name)
	block := adapters.ownBlock(edit, index)
	if replaced {
		block.splice(entry, 1, encoded)
		return
	}
	block.splice(entry, 0, encoded)
	adapters.count++
	if len(block.starts) > maxBlock {
		adapters.split(edit, index, entry)
	}
}

// remove removes an adapter if it is there.
func (adapters *adapters) remove(edit *edit, name string) {
	index := adapters.block(name)
	if index < 0 {
		return
	}
	entry, ok := adapters.blocks[index].search(name)
	if !ok {
		return
	}
	adapters.own(edit)
	adapters.ownBlock(edit, index).splice(entry, 1, nil)
	adapters.count--
	adapters.merge(edit, index)
}

func (adapters *adapters) encode(edit *edit, spec AdapterSpec) []byte {
	data := binary.AppendUvarint(nil, uint64(len(spec.Name)))
	data = append(data, spec.Name...)
	data = binary.AppendUvarint(data, uint64(adapters.number(edit, spec.Organisation)))
	data = binary.AppendUvarint(data, uint64(adapters.number(edit, spec.Service)))
	data = binary.AppendUvarint(data, uint64(spec.DefaultVersion))
	data = binary.AppendUvarint(data, uint64(len(spec.Versions)))
	var last uint32
	for _, version := range spec.Versions {
		// The difference wraps when versions are not ascending, and wraps back
		// when it is added.
		data = binary.AppendUvarint(data, uint64(version-last))
		last = version
	}
	return data
}

func (adapters *adapters) number(edit *edit, name string) uint32 {
	if number, ok := adapters.names.index[name]; ok {
		return number
	}
	if adapters.named != edit {
		adapters.names = &names{list: slices.Clone(adapters.names.list), index: maps.Clone(adapters.names.index)}
		adapters.named = edit
	}
	number := uint32(len(adapters.names.list))
	adapters.names.list = append(adapters.names.list, name)
	adapters.names.index[name] = number
	return number
}

// own copies the list of blocks unless the edit has copied it before.
func (adapters *adapters) own(edit *edit) {
	if adapters.listed != edit {
		adapters.blocks = slices.Clone(adapters.blocks)
		adapters.listed = edit
	}
}

func (adapters *adapters) ownBlock(edit *edit, index int) *block {
	shared := adapters.blocks[index]
	if shared.owner == edit {
		return shared
	}
	copied := &block{data: slices.Clone(shared.data), starts: slices.Clone(shared.starts), owner: edit}
	adapters.blocks[index] = copied
	return copied
}

// splice replaces count entries by an encoded one, or removes them when it is
// nil.
func (block *block) splice(entry, count int, encoded []byte) {
	start, end := block.start(entry), block.start(entry+count)
	block.data = slices.Replace(block.data, start, end, encoded...)
	var added []uint32
	if encoded != nil {
		added = []uint32{uint32(start)}
	}
	block.starts = slices.Replace(block.starts, entry, entry+count, added...)
	shift := uint32(len(encoded) - (end - start))
	for index := entry + len(added); index < len(block.starts); index++ {
		block.starts[index] += shift
	}
}

func (block *block) start(entry int) int {
	if entry == len(block.starts) {
		return len(block.data)
	}
	return int(block.starts[entry])
}

// split cuts a full block in two. A block that grew at its end is cut there, so
// that adapters put in the order of their names leave full blocks.
func (adapters *adapters) split(edit *edit, index, inserted int) {
	full := adapters.blocks[index]
	middle := len(full.starts) / 2
	if inserted == len(full.starts)-1 {
		middle = inserted
	}
	left, right := full.part(edit, 0, middle), full.part(edit, middle, len(full.starts))
	adapters.blocks = slices.Replace(adapters.blocks, index, index+1, left, right)
}

func (full *block) part(edit *edit, from, to int) *block {
	start, end := full.start(from), full.start(to)
	part := &block{data: slices.Clone(full.data[start:end]), starts: slices.Clone(full.starts[from:to]), owner: edit}
	for entry := range part.starts {
		part.starts[entry] -= uint32(start)
	}
	return part
}

// merge drops an empty block and joins a small one with a small neighbour.
func (adapters *adapters) merge(edit *edit, index int) {
	if len(adapters.blocks[index].starts) == 0 {
		adapters.blocks = slices.Delete(adapters.blocks, index, index+1)
		return
	}
	if index+1 == len(adapters.blocks) {
		index--
	}
	if index < 0 || len(adapters.blocks[index].starts) >= mergeBlock || len(adapters.blocks[index+1].starts) >= mergeBlock {
		return
	}
	left, right := adapters.ownBlock(edit, index), adapters.blocks[index+1]
	for _, start := range right.starts {
		left.starts = append(left.starts, start+uint32(len(left.data)))
	}
	left.data = append(left.data, right.data...)
	adapters.blocks = slices.Delete(adapters.blocks, index+1, index+2)
}

// trim drops unused capacity of the blocks that the edit changed.
func (adapters *adapters) trim(edit *edit) {
	if adapters.listed != edit {
		return
	}
	for _, block := range adapters.blocks {
		if block.owner != edit {
			continue
		}
		if cap(block.data) > len(block.data)+len(block.data)/8 {
			block.data = append(make([]byte, 0, len(block.data)), block.data...)
		}
		if cap(block.starts) > len(block.starts)+len(block.starts)/8 {
			block.starts = append(make([]uint32, 0, len(block.starts)), block.starts...)
		}
	}
}
