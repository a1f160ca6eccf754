package codec

import (
	"math"
	"time"

	"jacinthfront.dev/jacinthfront/internal/flow/cordon"
	"jacinthfront.dev/jacinthfront/internal/flow/poison"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// EncodePoisonNews encodes news, or returns nil if there are none.
func EncodePoisonNews(news poison.News) *wirepb.PoisonNews {
	if len(news.Evidence)+len(news.Completions)+len(news.Probes) == 0 {
		return nil
	}
	encoded := &wirepb.PoisonNews{}
	for _, evidence := range news.Evidence {
		encoded.Evidence = append(encoded.Evidence, &wirepb.CrashEvidence{
			Part: evidence.Part, Organisation: evidence.Organisation, Request: evidence.Request,
			Upstream: evidence.Upstream.ID, Born: evidence.Upstream.StartedAt,
			AgeMs: encodeAge(evidence.At), Fresh: evidence.Fresh, Probe: evidence.Probe,
		})
	}
	for _, completion := range news.Completions {
		encoded.Completions = append(encoded.Completions, &wirepb.PartCompletion{
			Part: completion.Part, Organisation: completion.Organisation, AgeMs: encodeAge(completion.At),
		})
	}
	for _, probe := range news.Probes {
		encoded.Probes = append(encoded.Probes, &wirepb.PartProbe{Part: probe.Part, AgeMs: encodeAge(probe.At)})
	}
	return encoded
}

// DecodePoisonNews decodes what EncodePoisonNews encoded.
func DecodePoisonNews(encoded *wirepb.PoisonNews) poison.News {
	var news poison.News
	for _, evidence := range encoded.GetEvidence() {
		news.Evidence = append(news.Evidence, poison.Evidence{
			Part: evidence.GetPart(), Organisation: evidence.GetOrganisation(), Request: evidence.GetRequest(),
			Upstream: cordon.Incarnation{ID: evidence.GetUpstream(), StartedAt: evidence.GetBorn()},
			At:       decodeAge(evidence.GetAgeMs()), Fresh: evidence.GetFresh(), Probe: evidence.GetProbe(),
		})
	}
	for _, completion := range encoded.GetCompletions() {
		news.Completions = append(news.Completions, poison.Completion{
			Part: completion.GetPart(), Organisation: completion.GetOrganisation(), At: decodeAge(completion.GetAgeMs()),
		})
	}
	for _, probe := range encoded.GetProbes() {
		news.Probes = append(news.Probes, poison.Probe{Part: probe.GetPart(), At: decodeAge(probe.GetAgeMs())})
	}
	return news
}

// encodeAge returns the time since a moment in milliseconds.
func encodeAge(at time.Time) uint32 {
	return uint32(min(max(time.Since(at).Milliseconds(), 0), math.MaxUint32))
}

// decodeAge returns the moment with an age in milliseconds.
func decodeAge(age uint32) time.Time { return time.Now().Add(-time.Duration(age) * time.Millisecond) }
