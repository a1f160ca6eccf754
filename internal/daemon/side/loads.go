package side

import (
	"context"
	"time"

	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/flow/queue"
	"jacinthfront.dev/jacinthfront/internal/flow/slots"
)

// execute gives one order to the engine and reports its end to the table.
func (server *Server) execute(order slots.Order, generation uint64) {
	defer server.loads.Done()
	ctx, cancel := context.WithTimeout(server.background, loadTimeout)
	defer cancel()
	began := time.Now()
	err := server.give(ctx, order, generation)
	server.logOrder(order, time.Since(began), err)
	if err != nil {
		server.reconcile(ctx, generation)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if generation != server.engine.generation || order.Load == (slots.Ref{}) {
		return
	}
	now := time.Now()
	if server.table.Finish(now, order.Load, err) {
		server.giveUp(order.Load)
	}
	if err == nil {
		server.noteLoaded(now, order.Load)
	}
	server.pump()
}

// give waits for a permit, evicts, and loads.
func (server *Server) give(ctx context.Context, order slots.Order, generation uint64) error {
	if order.Load != (slots.Ref{}) {
		if err := server.config.Permits.Acquire(ctx); err != nil {
			return err
		}
	}
	server.mu.Lock()
	current := generation == server.engine.generation
	server.table.Start(time.Now(), order.Load)
	server.mu.Unlock()
	if !current {
		return nil
	}
	if order.Evict != (slots.Ref{}) {
		server.count("evictions")
		if err := server.config.Engine.Unload(ctx, order.Evict.Adapter, order.Evict.Version); err != nil {
			return err
		}
	}
	if order.Load == (slots.Ref{}) {
		return nil
	}
	server.count("loads")
	return server.config.Engine.Load(ctx, order.Load.Adapter, order.Load.Version)
}

// logOrder logs an order to the engine and its end.
func (server *Server) logOrder(order slots.Order, took time.Duration, err error) {
	fields := []zap.Field{zap.Stringer("adapter", order.Load), zap.Duration("took", took), zap.String("upstream", server.config.Upstream)}
	if order.Evict != (slots.Ref{}) {
		fields = append(fields, zap.Stringer("evicted", order.Evict))
	}
	if err != nil {
		server.count("load-failures")
		server.config.Logger.Warn("place: failed to load adapter", append(fields, zap.NamedError("reason", err))...)
		return
	}
	server.config.Logger.Info("place: loaded adapter", append(fields, zap.String("reason", "requests wait for it"))...)
}

// reconcile reads what the engine holds after an order failed.
func (server *Server) reconcile(ctx context.Context, generation uint64) {
	state, err := server.config.Engine.State(ctx)
	if err != nil {
		return
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if generation == server.engine.generation && state.Epoch == server.engine.epoch {
		server.table.Reconcile(time.Now(), state.Loaded)
	}
}

// noteLoaded attributes the wait of the waiting requests to the load.
func (server *Server) noteLoaded(now time.Time, ref slots.Ref) {
	server.queue.All(func(entry *queue.Entry[*ticket]) bool {
		if entry.Value.ref == ref {
			entry.Value.loadWait = now.Sub(entry.Value.arrived)
		}
		return true
	})
}

func loadFailed(ticket *ticket) *fault.Fault {
	return fault.New(fault.LoadFailed, fault.NotRun,
		"the adapter %s could not be loaded here; send the request to another upstream", ticket.ref)
}

// giveUp hands the requests that wait for an adapter back to their entry
// instances.
func (server *Server) giveUp(ref slots.Ref) {
	var waiting []*ticket
	server.queue.All(func(entry *queue.Entry[*ticket]) bool {
		if entry.Value.ref == ref {
			waiting = append(waiting, entry.Value)
		}
		return true
	})
	after, _ := server.table.Refuses(time.Now(), ref)
	for _, ticket := range waiting {
		server.refuse(ticket, loadFailed(ticket).WithRetryAfter(after))
	}
}
