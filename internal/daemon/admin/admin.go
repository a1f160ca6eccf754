// Package admin implements the operator interface, over HTTP, and its client:
// configuration, keys, status, metrics and probes.
package admin

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/daemon/syncer"
	"jacinthfront.dev/jacinthfront/internal/state/conf"
	"jacinthfront.dev/jacinthfront/internal/state/patch"
)

// ConfigStore holds the configuration that operators read and change.
type ConfigStore interface {
	Current() *conf.Config
	Publish(ctx context.Context, record patch.Patch) (syncer.PublishReport, error)
	Result(id string) patch.Result
	History() []syncer.Change
	ConfirmedAge() time.Duration
	Isolated() bool
}

// Process is the daemon that serves the operator interface.
type Process interface {
	// Ready reports whether the process takes work.
	Ready() bool
	// Status returns the name of the role and the details of its state, which are
	// written as JSON.
	Status() (role string, detail any)
}

// Config configures an Admin.
type Config struct {
	Instance    string
	ConfigStore ConfigStore
	Process     Process
	// FleetStatus returns the state of the other instances; if nil, none are shown.
	FleetStatus FleetStatus
	Logger      *zap.Logger
}

const (
	// headerTimeout and bodyTimeout bound the time in which the headers and the
	// whole of a request must arrive.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second
	// shutdownTimeout bounds the wait for open requests on shutdown. It exceeds the
	// time in which a published patch is read back.
	shutdownTimeout = 15 * time.Second
	// maxBodyBytes bounds a patch in JSON, which is larger than the same patch on
	// the log.
	maxBodyBytes = 4 << 20
)

// Admin serves the operator interface.
type Admin struct {
	config  Config
	handler http.Handler
}

// New returns an Admin.
func New(config Config) (*Admin, error) {
	if config.ConfigStore == nil || config.Process == nil {
		return nil, fault.New(fault.Invalid, fault.NotRun, "the operator interface needs a ConfigStore and a Process; set both")
	}
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	admin := &Admin{config: config}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithConfiguration(iris.Configuration{
		DisableStartupLog:         true,
		DisableInterruptHandler:   true,
		DisablePathCorrection:     true,
		DisableAutoFireStatusCode: true,
	}))
	admin.routes(app)
	if err := app.Build(); err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "the operator interface does not build: %v; report it", err)
	}
	admin.handler = app
	return admin, nil
}

func (admin *Admin) routes(app *iris.Application) {
	app.Get("/config", admin.wrap(admin.getConfig))
	app.Get("/config/history", admin.wrap(admin.getHistory))
	app.Post("/config/patches", admin.wrap(admin.postPatch))
	app.Get("/config/patches/{id}", admin.wrap(admin.getPatch))
	app.Get("/keys", admin.wrap(admin.getKeys))
	app.Post("/keys", admin.wrap(admin.postKey))
	app.Delete("/keys/{id}", admin.wrap(admin.deleteKey))
	app.Get("/status", admin.wrap(admin.getStatus))
	app.Get("/status/fleet", admin.wrap(admin.getFleet))
	app.Get("/debug/vars", iris.FromStd(expvar.Handler()))
	app.Get("/healthz", admin.wrap(admin.getHealth))
	app.Get("/readyz", admin.wrap(admin.getReady))
	app.Any("/{path:path}", admin.wrap(admin.serveUnknownPath))
}

// Handler returns the operator interface as an HTTP handler.
func (admin *Admin) Handler() http.Handler { return admin.handler }

// Serve serves the operator interface on a listener until the context ends, and
// then waits up to shutdownTimeout for open requests.
func (admin *Admin) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: admin.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		stop()
		return err
	}
	<-stopped
	return nil
}

func (admin *Admin) wrap(handle func(iris.Context) error) iris.Handler {
	return func(ctx iris.Context) {
		err := handle(ctx)
		if err == nil {
			return
		}
		failure := fault.Wrap(err, fault.RunUnknown)
		admin.config.Logger.Warn("admin: refused request",
			zap.String("method", ctx.Method()), zap.String("path", ctx.Path()),
			zap.String("kind", string(failure.Kind())), zap.String("ran", string(failure.Ran())))
		_ = writeJSON(ctx, failure.Status(), errorJSON{Error: faultToJSON(failure)})
	}
}

func (admin *Admin) serveUnknownPath(ctx iris.Context) error {
	return fault.New(fault.UnknownRoute, fault.NotRun,
		"nothing is served at %s %s; use /config, /config/history, /config/patches, /keys, /status, /debug/vars, /healthz or /readyz",
		ctx.Method(), ctx.Path())
}
