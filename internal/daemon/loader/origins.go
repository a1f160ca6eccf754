package loader

import (
	"jacinthfront.dev/jacinthfront/internal/daemon/watch"
	"jacinthfront.dev/jacinthfront/internal/wire/codec"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// keepOrigins keeps which software began streams, for memoryLifetime at most, and how far the
// sender had read the instance list.
func (loader *Loader) keepOrigins(origins *wirepb.StreamOrigins) {
	loader.recordList(watch.Cursor{Epoch: origins.GetList().GetEpoch(), Next: origins.GetList().GetNext()})
	for _, record := range codec.DecodeOrigins(origins.GetStreams()) {
		record.Lifetime = min(record.Lifetime, memoryLifetime)
		loader.origins.Record(record, nil)
	}
}

// answerOrigins tells an entry instance which software began the streams that it asks for.
func (loader *Loader) answerOrigins(ask *wirepb.OriginAsk) {
	list := loader.latestList()
	answer := codec.AnswerOrigins(ask, loader.origins, &wirepb.ListPosition{Epoch: list.Epoch, Next: list.Next})
	loader.config.Datagrams.Send(answer, []string{ask.GetEntry()}, loader.logUnsent)
}

// recordList records how far an entry instance has read the instance list.
func (loader *Loader) recordList(cursor watch.Cursor) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.list.Before(cursor) {
		loader.list = cursor
	}
}

// latestList returns how far any entry instance had read the instance list that has told of
// a stream.
func (loader *Loader) latestList() watch.Cursor {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return loader.list
}
