package side

import (
	"crypto/sha256"
	"hash"
)

// hashWriter computes the SHA-256 digest of a response body, which is stored
// when the body is too large to keep.
type hashWriter struct{ hash hash.Hash }

func newHashWriter() hashWriter { return hashWriter{hash: sha256.New()} }

func (writer hashWriter) write(data []byte) { _, _ = writer.hash.Write(data) }

func (writer hashWriter) sum() []byte { return writer.hash.Sum(nil) }
