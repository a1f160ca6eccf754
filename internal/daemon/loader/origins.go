package loader

import (
	"jacinthfront.dev/jacinthfront/internal/flow/origin"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// keepOrigins keeps which software began streams, for memoryLifetime at most.
func (loader *Loader) keepOrigins(origins *wirepb.StreamOrigins) {
	for _, record := range codec.DecodeOrigins(origins.GetStreams()) {
		record.Lifetime = min(record.Lifetime, memoryLifetime)
		loader.origins.Record(record, nil)
	}
}

// answerOrigins tells an entry instance which software began the streams that it asks for.
func (loader *Loader) answerOrigins(ask *wirepb.OriginAsk) {
	answer := new(wirepb.OriginAnswer)
	var known []origin.Record
	for _, key := range ask.GetKeys() {
		if record, found := loader.origins.Find(origin.Key(key)); found {
			known = append(known, record)
		} else {
			answer.Unknown = append(answer.Unknown, key)
		}
	}
	answer.Known = codec.EncodeOrigins(known)
	loader.config.Datagrams.Send(&wirepb.Datagram{Body: &wirepb.Datagram_OriginAnswer{OriginAnswer: answer}}, []string{ask.GetEntry()}, loader.logUnsent)
}
