package http1

import (
	"bufio"
	"context"
	"time"
)

// get returns an unused connection that is still sound, or a new one.
func (pool *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		found := pool.take(address)
		if found == nil {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(found.until) && quiet(found) {
			return found, nil
		}
		_ = found.Close()
	}
}

func (pool *Pool) take(address string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	pool.idle[address] = list[:len(list)-1]
	pool.reused++
	return last
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pool.config.DialTime)
	defer cancel()
	opened, err := pool.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	dialled := &conn{Conn: opened, head: -1}
	dialled.reader = bufio.NewReaderSize(dialled, readBuffer)
	return dialled, nil
}

// put keeps a connection for later, unless too many are kept already.
func (pool *Pool) put(address string, used *conn, idleTime time.Duration) {
	used.until = time.Now().Add(idleTime)
	pool.mutex.Lock()
	list := pool.idle[address]
	kept := len(list) < pool.config.Idle
	if kept {
		pool.idle[address] = append(list, used)
	}
	pool.mutex.Unlock()
	if !kept {
		_ = used.Close()
	}
}

// CloseExpired closes the connections whose time has passed.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	pool.mutex.Lock()
	for address, list := range pool.idle {
		keep := list[:0]
		for _, kept := range list {
			if now.Before(kept.until) {
				keep = append(keep, kept)
			} else {
				old = append(old, kept)
			}
		}
		if len(keep) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = keep
		}
	}
	pool.mutex.Unlock()
	for _, closing := range old {
		_ = closing.Close()
	}
}
