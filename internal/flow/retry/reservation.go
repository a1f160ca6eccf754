package retry

import (
	"slices"
	"time"
)

// Reservation is a retry that the limits allow and that has not been sent yet. It
// counts as if it was sent now. Its methods must not be called concurrently.
type Reservation struct {
	ledger *Ledger
	// extra means that a permit pays for the retry, taken at reservedAt.
	extra      bool
	reservedAt time.Time
	// sentAt is when the retry was counted as sent, or zero.
	sentAt time.Time
	// held means that the reservation counts, as the retry was not sent.
	held bool
}

// Extra reports whether a permit pays for the retry, else the instance's own requests
// do.
func (reservation *Reservation) Extra() bool { return reservation.extra }

// Reserve reserves a retry for which this instance's own requests pay, or returns nil
// if there is none left.
func (ledger *Ledger) Reserve() *Reservation { return ledger.reserve(false) }

// ReserveExtra reserves a retry for which the caller has a permit, or returns nil if
// that may not be used.
func (ledger *Ledger) ReserveExtra() *Reservation { return ledger.reserve(true) }

func (ledger *Ledger) reserve(extra bool) *Reservation {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	limits := ledger.limits()
	if !extra && !ledger.allowsOwn(limits) || !ledger.allows(limits) {
		return nil
	}
	reservation := &Reservation{ledger: ledger, extra: extra, reservedAt: time.Now()}
	ledger.hold(reservation, true)
	return reservation
}

// Send counts the retry as sent now and reports whether it may be sent. If not, the
// reservation has ended: the requests that paid for it lie too far back, or its permit
// has expired.
func (reservation *Reservation) Send() bool {
	ledger := reservation.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.hold(reservation, false)
	limits := ledger.limits()
	expired := reservation.extra && time.Since(reservation.reservedAt) > PermitLifetime
	if expired || !reservation.extra && !ledger.allowsOwn(limits) || !ledger.allows(limits) {
		return false
	}
	reservation.sentAt = time.Now()
	if !reservation.extra {
		ledger.retries = append(ledger.retries, reservation.sentAt)
	}
	ledger.own.retries++
	ledger.archive.count(ledger.config.Incarnation, 0, 1)
	return true
}

// Unsent takes back that the retry was sent, which has reached no upstream, so that it
// can be sent again.
func (reservation *Reservation) Unsent() {
	ledger := reservation.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if index := slices.Index(ledger.retries, reservation.sentAt); !reservation.extra && index >= 0 {
		ledger.retries = slices.Delete(ledger.retries, index, index+1)
	}
	ledger.own.retries--
	ledger.archive.uncount(ledger.config.Incarnation, reservation.sentAt)
	ledger.hold(reservation, true)
}

// Release ends the reservation, unless the retry was sent.
func (reservation *Reservation) Release() {
	ledger := reservation.ledger
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.hold(reservation, false)
}

// hold makes a reservation count, or not.
func (ledger *Ledger) hold(reservation *Reservation, held bool) {
	if reservation.held == held {
		return
	}
	reservation.held = held
	number := -1
	if held {
		number = 1
	}
	ledger.reserved += number
	if !reservation.extra {
		ledger.reservedOwn += number
	}
}
