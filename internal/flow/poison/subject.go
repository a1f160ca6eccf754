package poison

import (
	"cmp"
	"strconv"
)

// Subject is what evidence speaks against: a part of prompts or a whole request.
type Subject struct {
	part     string
	identity uint64
}

// Part returns the subject of a part.
func Part(id string) Subject { return Subject{part: id} }

// Request returns the subject of a whole request. Its identity is not 0 and differs for
// two organisations.
func Request(identity uint64) Subject { return Subject{identity: identity} }

// Part returns the id of a part, or "" for a whole request.
func (subject Subject) Part() string { return subject.part }

// Identity returns the identity of a whole request, or 0 for a part.
func (subject Subject) Identity() uint64 { return subject.identity }

// isRequest reports whether the subject is a whole request.
func (subject Subject) isRequest() bool { return subject.identity != 0 }

// String returns a text that names the subject.
func (subject Subject) String() string {
	if subject.identity != 0 {
		return "request " + strconv.FormatUint(subject.identity, 16)
	}
	return "part " + subject.part
}

// concerns reports whether evidence speaks against the subject itself, or is of the
// request that the subject is.
func (subject Subject) concerns(evidence Evidence) bool {
	if subject.isRequest() {
		return subject.identity == evidence.Request
	}
	return subject == evidence.Subject
}

// compare orders subjects.
func (subject Subject) compare(other Subject) int {
	return cmp.Or(cmp.Compare(subject.part, other.part), cmp.Compare(subject.identity, other.identity))
}

// soundSubjects remembers the last completions of subjects without evidence. When the
// newer ones are full, they replace the older ones.
type soundSubjects struct {
	limit        int
	newer, older map[Subject]Completion
}

func newSoundSubjects(limit int) *soundSubjects {
	return &soundSubjects{limit: limit, newer: make(map[Subject]Completion)}
}

func (soundSubjects *soundSubjects) record(completion Completion) {
	if len(soundSubjects.newer) >= soundSubjects.limit/2 {
		soundSubjects.older, soundSubjects.newer = soundSubjects.newer, make(map[Subject]Completion)
	}
	soundSubjects.newer[completion.Subject] = completion
}

func (soundSubjects *soundSubjects) last(subject Subject) (Completion, bool) {
	if completion, ok := soundSubjects.newer[subject]; ok {
		return completion, true
	}
	completion, ok := soundSubjects.older[subject]
	return completion, ok
}
