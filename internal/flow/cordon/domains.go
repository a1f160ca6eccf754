package cordon

import (
	"maps"
	"slices"
	"sync/atomic"
)

// Evacuation is the set of evacuated failure domains at a position in the
// operators' topic, whose epochs count the restores of the store.
type Evacuation struct {
	Epoch, Next    uint64
	FailureDomains []string
}

// Domains holds the evacuated failure domains, whose upstreams get no requests.
// Its methods may be called concurrently, but Replace by one caller at a time.
type Domains struct {
	evacuated atomic.Pointer[map[string]bool]
}

// Evacuated reports whether a failure domain is evacuated.
func (domains *Domains) Evacuated(domain string) bool { return domains.load()[domain] }

// List returns the evacuated failure domains in their order.
func (domains *Domains) List() []string { return slices.Sorted(maps.Keys(domains.load())) }

// Replace replaces the evacuated failure domains. It returns those that are new
// and those that no longer are evacuated, in their order.
func (domains *Domains) Replace(evacuated map[string]bool) (begun, ended []string) {
	before, after := domains.load(), maps.Clone(evacuated)
	domains.evacuated.Store(&after)
	return missing(before, after), missing(after, before)
}

func (domains *Domains) load() map[string]bool {
	if evacuated := domains.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

// missing returns the keys of a set that another one lacks, in their order.
func missing(from, set map[string]bool) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(set)), func(domain string) bool { return from[domain] })
}
