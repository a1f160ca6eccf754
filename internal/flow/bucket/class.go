package bucket

import "time"

// Class is how long the callers of some of an organisation's requests can wait. A class
// with a shorter wait is more urgent.
type Class time.Duration

// Unclassified is the class of requests where the callers of all routes can wait equally
// long. Nothing is reserved for them or held back from them.
const Unclassified Class = 0

// urgencyFactor is the least factor between the waits of two classes of which one is more
// urgent. Waits are rounded to powers of two, so those of two classes that differ by less
// may be nearly equal.
const urgencyFactor = 4

// moreUrgent reports whether a class is more urgent than another one.
func (class Class) moreUrgent(other Class) bool {
	return class != Unclassified && class <= other/urgencyFactor
}

// classUse is what this instance was asked for by a class of an organisation's requests,
// with the refused ones counted once.
type classUse struct {
	spent float64
	rate  spendingRate
	// refused is how fast requests are refused, each counted once.
	refused spendingRate
	// sizes holds how often requests ask and are served, by the size of their cost.
	sizes map[int]*sizeUse
}

// class returns what was asked for by a class.
func (bucket *bucket) class(class Class) *classUse {
	found, ok := bucket.classes[class]
	if !ok {
		if bucket.classes == nil {
			bucket.classes = make(map[Class]*classUse)
		}
		found = &classUse{sizes: make(map[int]*sizeUse)}
		bucket.classes[class] = found
	}
	return found
}

// spend records that units are asked for by a class, or given back if they are negative.
func (bucket *bucket) spend(class Class, units float64) {
	if class == Unclassified {
		return
	}
	use := bucket.class(class)
	use.spent += units
	use.rate.add(units)
}

// classSpent returns what this instance was asked for by class.
func (bucket *bucket) classSpent() map[Class]float64 {
	spent := make(map[Class]float64, len(bucket.classes))
	for class, use := range bucket.classes {
		spent[class] = use.spent
	}
	return spent
}

// addClasses records what the peer has spent by class since its previous report. What
// it spent over more than averagingTime counts with its mean rate, so that a report
// after a pause does not look like a burst.
func (peer *peer) addClasses(spent map[string]map[Class]float64) {
	part := min(1, averagingTime.Seconds()/time.Since(peer.heardAt).Seconds())
	for organisation, classes := range spent {
		for class, total := range classes {
			peer.classRate(organisation, class).add((total - peer.ClassSpent[organisation][class]) * part)
		}
	}
}

// classRate returns the peer's average for a class, which it creates if there is none.
func (peer *peer) classRate(organisation string, class Class) *spendingRate {
	rates, ok := peer.classRates[organisation]
	if !ok {
		rates = make(map[Class]*spendingRate)
		peer.classRates[organisation] = rates
	}
	if rates[class] == nil {
		rates[class] = &spendingRate{}
	}
	return rates[class]
}

// urgentRate returns how fast all instances are asked by classes that are more urgent than
// the given one. A silent peer spends from the fraction that is reserved for it.
func (limiter *Limiter) urgentRate(organisation string, bucket *bucket, class Class) float64 {
	now, sum := time.Now(), 0.0
	for other, use := range bucket.classes {
		if other.moreUrgent(class) {
			sum += use.rate.at(now)
		}
	}
	for _, peer := range limiter.peers {
		if peer.silent {
			continue
		}
		for other, rate := range peer.classRates[organisation] {
			if other.moreUrgent(class) {
				sum += rate.at(now)
			}
		}
	}
	return max(sum, 0)
}

// spenders returns how many instances spend on a class, as the inverse of the sum of
// their squared fractions of what is spent. One that lately got back more than it spent
// does not count.
func (limiter *Limiter) spenders(organisation string, bucket *bucket, class Class) float64 {
	now := time.Now()
	own := max(bucket.class(class).rate.at(now), 0)
	sum, squares := own, own*own
	for _, peer := range limiter.peers {
		if rate := peer.classRates[organisation][class]; rate != nil && !peer.silent {
			value := max(rate.at(now), 0)
			sum, squares = sum+value, squares+value*value
		}
	}
	if squares <= 0 {
		return 1
	}
	return sum * sum / squares
}
