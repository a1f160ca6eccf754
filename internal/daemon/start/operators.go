package start

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// operatorHeaderTime bounds the time for sending a request header.
const operatorHeaderTime = 5 * time.Second

// serveOperators serves probes and metrics until ctx ends.
func (parts *parts) serveOperators(ctx context.Context, process *Process) error {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if !process.Ready() {
			http.Error(writer, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = writer.Write([]byte("ready\n"))
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: operatorHeaderTime}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(parts.operators); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// watch closes Done when all parts have ended.
func (process *Process) watch(group *errgroup.Group) {
	go func() {
		process.err = group.Wait()
		process.serve()
		process.parts.close()
		_ = process.parts.pool.Close()
		close(process.done)
	}()
}
