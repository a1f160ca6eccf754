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
			Part: evidence.Subject.Part(), Identity: evidence.Subject.Identity(), Organisation: evidence.Organisation, Request: evidence.Request,
			Upstream: evidence.Upstream.ID, Born: evidence.Upstream.StartedAt,
			AgeMs: encodeAge(evidence.At), Fresh: evidence.Fresh, Unanswered: evidence.Unanswered, Probe: evidence.Probe,
		})
	}
	for _, completion := range news.Completions {
		encoded.Completions = append(encoded.Completions, &wirepb.PoisonCompletion{
			Part: completion.Subject.Part(), Identity: completion.Subject.Identity(), Organisation: completion.Organisation, AgeMs: encodeAge(completion.At),
		})
	}
	for _, probe := range news.Probes {
		encoded.Probes = append(encoded.Probes, &wirepb.PoisonProbe{Part: probe.Subject.Part(), Identity: probe.Subject.Identity(), AgeMs: encodeAge(probe.At)})
	}
	return encoded
}

// DecodePoisonNews decodes what EncodePoisonNews encoded.
func DecodePoisonNews(encoded *wirepb.PoisonNews) poison.News {
	var news poison.News
	for _, evidence := range encoded.GetEvidence() {
		news.Evidence = append(news.Evidence, poison.Evidence{
			Subject: decodeSubject(evidence), Organisation: evidence.GetOrganisation(), Request: evidence.GetRequest(),
			Upstream: cordon.Incarnation{ID: evidence.GetUpstream(), StartedAt: evidence.GetBorn()},
			At:       decodeAge(evidence.GetAgeMs()), Fresh: evidence.GetFresh(), Unanswered: evidence.GetUnanswered(), Probe: evidence.GetProbe(),
		})
	}
	for _, completion := range encoded.GetCompletions() {
		news.Completions = append(news.Completions, poison.Completion{
			Subject: decodeSubject(completion), Organisation: completion.GetOrganisation(), At: decodeAge(completion.GetAgeMs()),
		})
	}
	for _, probe := range encoded.GetProbes() {
		news.Probes = append(news.Probes, poison.Probe{Subject: decodeSubject(probe), At: decodeAge(probe.GetAgeMs())})
	}
	return news
}

// decodeSubject returns the subject of a message.
func decodeSubject(message interface {
	GetPart() string
	GetIdentity() uint64
}) poison.Subject {
	if identity := message.GetIdentity(); identity != 0 {
		return poison.Request(identity)
	}
	return poison.Part(message.GetPart())
}

// encodeAge returns the time since a moment in milliseconds.
func encodeAge(at time.Time) uint32 {
	return uint32(min(max(time.Since(at).Milliseconds(), 0), math.MaxUint32))
}

// decodeAge returns the moment with an age in milliseconds.
func decodeAge(age uint32) time.Time { return time.Now().Add(-time.Duration(age) * time.Millisecond) }
