package side

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/fairq"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// errEngineRestarted is the error of an order that was planned for an earlier
// incarnation of the engine.
var errEngineRestarted = errors.New("the engine restarted")

// errNotEvicted is the error of an order whose eviction the engine did not
// carry out.
var errNotEvicted = errors.New("the engine did not evict the adapter")

// executeOrder sends one order to the engine and records its result in the slot
// table.
func (server *Server) executeOrder(order slots.Order, generation uint64) {
	defer server.workers.Done()
	ctx, cancel := context.WithTimeout(server.background, loadTimeout)
	defer cancel()
	began := time.Now()
	err := server.sendOrder(ctx, order, generation)
	server.logOrder(order, time.Since(began), err)
	var engineState *EngineState
	if err != nil {
		engineState = server.readEngineState(ctx)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if generation != server.engine.generation {
		return
	}
	now := time.Now()
	refuseWaiting := false
	if errors.Is(err, errNotEvicted) {
		server.table.EvictionRefused(now, order)
	} else {
		refuseWaiting = server.table.LoadFinished(now, order.Load, err)
	}
	if engineState != nil && engineState.Incarnation == server.engine.incarnation {
		server.table.Reconcile(now, engineState.Loaded)
	}
	if refuseWaiting && !server.table.Ready(order.Load) {
		server.refuseWaitingFor(order.Load)
	}
	if err == nil {
		server.recordLoadWait(now, order.Load)
	}
	server.schedule()
}

// readEngineState reads which adapters the engine holds after an order failed:
// the reply may have been lost although the engine carried out the order.
func (server *Server) readEngineState(ctx context.Context) *EngineState {
	state, err := server.config.UpstreamClient.State(ctx)
	if err != nil {
		return nil
	}
	return &state
}

// sendOrder makes the engine evict and load the adapters of an order.
func (server *Server) sendOrder(ctx context.Context, order slots.Order, generation uint64) error {
	server.mu.Lock()
	current := generation == server.engine.generation
	server.table.LoadStarted(time.Now(), order.Load)
	server.mu.Unlock()
	if !current {
		return errEngineRestarted
	}
	if order.Evict != (slots.AdapterRef{}) {
		server.count("evictions")
		err := server.config.UpstreamClient.Unload(ctx, order.Evict.Adapter, order.Evict.Version)
		server.endEviction(order.Evict, generation)
		if err != nil {
			return errors.Join(errNotEvicted, err)
		}
	}
	if order.Load == (slots.AdapterRef{}) {
		return nil
	}
	server.count("loads")
	return server.config.UpstreamClient.Load(ctx, order.Load.Adapter, order.Load.Version)
}

// endEviction records that an eviction has ended, unless the engine restarted since.
func (server *Server) endEviction(ref slots.AdapterRef, generation uint64) {
	server.mu.Lock()
	defer server.mu.Unlock()
	if generation == server.engine.generation {
		server.table.EvictionEnded(ref)
		server.schedule()
	}
}

// logOrder logs an order to the engine and its result.
func (server *Server) logOrder(order slots.Order, took time.Duration, err error) {
	fields := []zap.Field{zap.Stringer("adapter", order.Load), zap.Duration("took", took), zap.String("upstream", server.config.UpstreamID)}
	if order.Evict != (slots.AdapterRef{}) {
		fields = append(fields, zap.Stringer("evicted", order.Evict))
	}
	if err != nil {
		server.count("load-failures")
		server.config.Logger.Warn("place: failed to load adapter", append(fields, zap.NamedError("reason", err))...)
		return
	}
	server.config.Logger.Info("place: loaded adapter", append(fields, zap.String("reason", "requests wait for it"))...)
}

// recordLoadWait attributes the time that requests for the adapter have waited
// so far to its load.
func (server *Server) recordLoadWait(now time.Time, ref slots.AdapterRef) {
	server.queue.All(func(entry *fairq.Entry[*task]) bool {
		if entry.Value.ref == ref {
			entry.Value.loadWait = now.Sub(entry.Value.arrived)
		}
		return true
	})
}

func errLoadFailed(task *task) *fault.Fault {
	return fault.New(fault.LoadFailed, fault.NotRun,
		"the adapter %s could not be loaded here; send the request to another upstream", task.ref)
}

// refuseWaitingFor returns the requests that wait for an adapter to their entry
// instances, after its load failed repeatedly.
func (server *Server) refuseWaitingFor(ref slots.AdapterRef) {
	var waiting []*task
	server.queue.All(func(entry *fairq.Entry[*task]) bool {
		if entry.Value.ref == ref {
			waiting = append(waiting, entry.Value)
		}
		return true
	})
	retryAfter, _ := server.table.RejectFor(time.Now(), ref)
	for _, task := range waiting {
		server.refuseQueued(task, errLoadFailed(task).WithRetryAfter(retryAfter))
	}
}
