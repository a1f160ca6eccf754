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

// errOvertaken is an order for an engine that started anew meanwhile.
var errOvertaken = errors.New("the engine started anew")

// errNotEvicted is an order whose eviction the engine did not carry out.
var errNotEvicted = errors.New("the engine did not evict")

// execute gives one order to the engine and reports its end to the table.
func (server *Server) execute(order slots.Order, generation uint64) {
	defer server.loads.Done()
	ctx, cancel := context.WithTimeout(server.background, loadTimeout)
	defer cancel()
	began := time.Now()
	err := server.give(ctx, order, generation)
	server.logOrder(order, time.Since(began), err)
	var held *EngineState
	if err != nil {
		held = server.held(ctx)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	if generation != server.engine.generation {
		return
	}
	now := time.Now()
	giveUp := false
	if errors.Is(err, errNotEvicted) {
		server.table.EvictionRefused(now, order)
	} else {
		giveUp = server.table.LoadFinished(now, order.Load, err)
	}
	if held != nil && held.Epoch == server.engine.epoch {
		server.table.Reconcile(now, held.Loaded)
	}
	if giveUp && !server.table.Ready(order.Load) {
		server.giveUp(order.Load)
	}
	if err == nil {
		server.noteLoaded(now, order.Load)
	}
	server.pump()
}

// held reads what the engine holds after an order failed: its reply may be
// lost although the engine carried it out.
func (server *Server) held(ctx context.Context) *EngineState {
	state, err := server.config.UpstreamClient.State(ctx)
	if err != nil {
		return nil
	}
	return &state
}

// give evicts and loads.
func (server *Server) give(ctx context.Context, order slots.Order, generation uint64) error {
	server.mu.Lock()
	current := generation == server.engine.generation
	server.table.LoadStarted(time.Now(), order.Load)
	server.mu.Unlock()
	if !current {
		return errOvertaken
	}
	if order.Evict != (slots.AdapterRef{}) {
		server.count("evictions")
		if err := server.config.UpstreamClient.Unload(ctx, order.Evict.Adapter, order.Evict.Version); err != nil {
			return errors.Join(errNotEvicted, err)
		}
	}
	if order.Load == (slots.AdapterRef{}) {
		return nil
	}
	server.count("loads")
	return server.config.UpstreamClient.Load(ctx, order.Load.Adapter, order.Load.Version)
}

// logOrder logs an order to the engine and its end.
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

// noteLoaded attributes the wait of the waiting requests to the load.
func (server *Server) noteLoaded(now time.Time, ref slots.AdapterRef) {
	server.queue.All(func(entry *fairq.Entry[*ticket]) bool {
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
func (server *Server) giveUp(ref slots.AdapterRef) {
	var waiting []*ticket
	server.queue.All(func(entry *fairq.Entry[*ticket]) bool {
		if entry.Value.ref == ref {
			waiting = append(waiting, entry.Value)
		}
		return true
	})
	after, _ := server.table.RejectFor(time.Now(), ref)
	for _, ticket := range waiting {
		server.refuse(ticket, loadFailed(ticket).WithRetryAfter(after))
	}
}
