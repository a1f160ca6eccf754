package http1

import (
	"bufio"
	"context"
	"slices"
	"time"
)

// acquire returns an idle connection that is still usable for the request with an id, or
// a new one.
func (pool *Pool) acquire(ctx context.Context, address, requestID string) (*conn, error) {
	for {
		conn := pool.popIdle(address, requestID)
		if conn == nil {
			return pool.dial(ctx, address)
		}
		if time.Now().Before(conn.expiresAt) && nothingReceived(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// popIdle returns the idle connection used last of those that may carry the request, or
// nil.
func (pool *Pool) popIdle(address, requestID string) *conn {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	list := pool.idle[address]
	for index, conn := range slices.Backward(list) {
		if conn.refused.admits(requestID) {
			pool.idle[address] = slices.Delete(list, index, index+1)
			pool.reused++
			return conn
		}
	}
	return nil
}

func (pool *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pool.config.DialTimeout)
	defer cancel()
	netConn, err := pool.config.Dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	pool.mutex.Lock()
	pool.opened++
	pool.mutex.Unlock()
	opened := &conn{Conn: netConn, headRemaining: -1, openedAt: time.Now(), expiresAt: time.Now().Add(pool.config.IdleTimeout)}
	opened.reader = bufio.NewReaderSize(opened, readBufferSize)
	return opened, nil
}

// putIdle keeps a connection for reuse until an idle timeout has passed.
func (pool *Pool) putIdle(address string, conn *conn, idleTimeout time.Duration) {
	conn.expiresAt = time.Now().Add(idleTimeout)
	pool.putBack(address, conn)
}

// putBack keeps a connection for reuse until it expires, or closes it if the pool holds
// enough idle connections for the address.
func (pool *Pool) putBack(address string, conn *conn) {
	pool.mutex.Lock()
	list := pool.idle[address]
	kept := len(list) < pool.config.MaxIdle
	if kept {
		pool.idle[address] = append(list, conn)
	}
	pool.mutex.Unlock()
	if !kept {
		_ = conn.Close()
	}
}

// CloseExpired closes the idle connections that have expired.
func (pool *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	pool.mutex.Lock()
	for address, list := range pool.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.expiresAt) {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(kept) == 0 {
			delete(pool.idle, address)
		} else {
			pool.idle[address] = kept
		}
	}
	pool.mutex.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}
