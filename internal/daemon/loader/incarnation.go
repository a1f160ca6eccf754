package loader

import "jacinthfront.dev/jacinthfront/internal/wire/wirepb"

// maxIncarnationAsks bounds the asks that wait for a report.
const maxIncarnationAsks = 1024

// incarnationAsker is an entry instance that asks which incarnation of the engine runs, and
// the id by which it knows the engine.
type incarnationAsker struct{ entry, upstream string }

// recordIncarnationAsk records an ask, which the next report answers, and has that fetched
// at once.
func (loader *Loader) recordIncarnationAsk(ask *wirepb.IncarnationAsk) {
	asker := incarnationAsker{ask.GetEntry(), ask.GetUpstream()}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if _, known := loader.incarnationAsks[asker]; known || len(loader.incarnationAsks) < maxIncarnationAsks {
		loader.incarnationAsks[asker] = ask.GetAskedAt()
	}
	wake(loader.wakeOrders)
}

// takeIncarnationAsks returns the asks that came before a report is fetched.
func (loader *Loader) takeIncarnationAsks() map[incarnationAsker]int64 {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	asks := loader.incarnationAsks
	loader.incarnationAsks = make(map[incarnationAsker]int64)
	return asks
}

// keepIncarnationAsks keeps asks that a report has not answered for the next one, unless
// later ones have come.
func (loader *Loader) keepIncarnationAsks(asks map[incarnationAsker]int64) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	for asker, askedAt := range asks {
		if _, later := loader.incarnationAsks[asker]; !later && len(loader.incarnationAsks) < maxIncarnationAsks {
			loader.incarnationAsks[asker] = askedAt
		}
	}
}

// answerIncarnations answers asks that came before the engine gave a report.
func (loader *Loader) answerIncarnations(asks map[incarnationAsker]int64, startedAt int64) {
	for asker, askedAt := range asks {
		loader.config.Datagrams.Send(&wirepb.Datagram{Body: &wirepb.Datagram_IncarnationAnswer{IncarnationAnswer: &wirepb.IncarnationAnswer{
			Upstream: asker.upstream, AskedAt: askedAt, Born: startedAt,
		}}}, []string{asker.entry}, loader.logUnsent)
	}
}
