// Package buffer bounds the memory that a process holds for the bodies of requests and
// responses, all together, and divides it between their owners with dynamic thresholds
// (Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet
// switches", 1998): an owner may hold as much as is left for all. So one owner that
// floods the process gets half of the memory, and others find the rest.
package buffer

import (
	"cmp"
	"sync"
)

const (
	// DefaultLimit is the default of Config.Limit, in bytes.
	DefaultLimit = 24 << 20
	// Allowance is how many bytes each reservation gets whatever is left.
	Allowance = 16 << 10
	// heavyPart is the part of the limit, as a divisor, from which on an owner is heavy.
	heavyPart = 8
)

// Config configures a Pool. Zero values mean the defaults.
type Config struct {
	// Limit is how many bytes all reservations may hold together. Allowances are granted
	// beyond it.
	Limit int64
}

// Pool is the memory that reservations share. Its methods may be called concurrently.
type Pool struct {
	config Config

	mutex   sync.Mutex
	held    int64
	byOwner map[string]int64
}

// New returns a Pool without reservations.
func New(config Config) *Pool {
	config.Limit = cmp.Or(config.Limit, DefaultLimit)
	return &Pool{config: config, byOwner: make(map[string]int64)}
}

// Held returns the number of bytes that all reservations hold.
func (pool *Pool) Held() int64 {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.held
}

// Heavy reports whether an owner holds a large part of the limit.
func (pool *Pool) Heavy(owner string) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.byOwner[owner] > pool.config.Limit/heavyPart
}

// Reserve returns a reservation of an owner, which holds nothing yet.
func (pool *Pool) Reserve(owner string) *Reservation {
	return &Reservation{pool: pool, owner: owner}
}

// add changes what an owner holds. It refuses an increase beyond what is left for all if
// limited is set.
func (pool *Pool) add(owner string, change int64, limited bool) bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	left := pool.config.Limit - pool.held
	if limited && pool.byOwner[owner]+change > left-change {
		return false
	}
	pool.held += change
	pool.byOwner[owner] += change
	if pool.byOwner[owner] == 0 {
		delete(pool.byOwner, owner)
	}
	return true
}

// Reservation is memory that one body holds. Its methods must not be called concurrently.
type Reservation struct {
	pool  *Pool
	owner string
	held  int64
}

// Grow makes the reservation hold size bytes at least. It reports whether there is memory
// for them; if not, the reservation stays as it is.
func (reservation *Reservation) Grow(size int64) bool {
	change := size - reservation.held
	if change <= 0 {
		return true
	}
	if !reservation.pool.add(reservation.owner, change, size > Allowance) {
		return false
	}
	reservation.held = size
	return true
}

// Release gives the memory back.
func (reservation *Reservation) Release() {
	if reservation.held == 0 {
		return
	}
	reservation.pool.add(reservation.owner, -reservation.held, false)
	reservation.held = 0
}
