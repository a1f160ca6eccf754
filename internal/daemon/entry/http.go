package entry

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
)

// handlerFunc serves one exchange. A returned fault becomes the response, or
// aborts a response that has begun.
type handlerFunc func(*exchange) *fault.Fault

// handler returns the HTTP handler for callers.
func (entry *Entry) handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithConfiguration(iris.Configuration{
		DisableStartupLog:         true,
		DisableInterruptHandler:   true,
		DisablePathCorrection:     true,
		DisableAutoFireStatusCode: true,
	}))
	for _, prefix := range []string{"/v1", "/routes/{route}/v1"} {
		app.Post(prefix+"/chat/completions", entry.wrap((*exchange).serveChat))
		app.Post(prefix+"/completions", entry.wrap((*exchange).serveCompletion))
		app.Get(prefix+"/models", entry.wrap((*exchange).serveModels))
	}
	app.Get("/v1/requests/{id}", entry.wrap((*exchange).serveOutcome))
	app.Any("/services/{path:path}", entry.wrap((*exchange).servePlain))
	app.Any("/", entry.wrap((*exchange).serveUnknownPath))
	app.Any("/{path:path}", entry.wrap((*exchange).serveUnknownPath))
	if err := app.Build(); err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "the HTTP interface does not build: %v; report it", err)
	}
	return app, nil
}

func (entry *Entry) wrap(serve handlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		exchange := newExchange(entry, ctx)
		defer exchange.end()
		if fault := exchange.checkAndServe(serve); fault != nil {
			exchange.writeFault(fault)
		}
	}
}

func (exchange *exchange) checkAndServe(serve handlerFunc) *fault.Fault {
	if fault := exchange.entry.acquireInFlight(); fault != nil {
		return fault
	}
	defer exchange.entry.releaseInFlight()
	if fault := exchange.checkHeadersAndURL(); fault != nil {
		return fault
	}
	return serve(exchange)
}

// serveUnknownPath responds to requests that no other handler takes.
func (exchange *exchange) serveUnknownPath() *fault.Fault {
	for suffix, method := range map[string]string{
		"/v1/chat/completions": http.MethodPost, "/v1/completions": http.MethodPost, "/v1/models": http.MethodGet,
	} {
		if strings.HasSuffix(exchange.request.URL.Path, suffix) && exchange.request.Method != method {
			exchange.writer.Header().Set("Allow", method)
			return fault.New(fault.MethodNotAllowed, fault.NotRun, "the path does not take this method; use %s", method)
		}
	}
	return fault.New(fault.UnknownRoute, fault.NotRun,
		"nothing is served at this path; use /v1/chat/completions, /v1/completions, /v1/models, /routes/ROUTE/v1/... or /services/SERVICE/...")
}

// routeName returns the name of the route in the path, or "default".
func (exchange *exchange) routeName() string {
	rest, named := strings.CutPrefix(exchange.request.URL.Path, "/routes/")
	if !named {
		return "default"
	}
	name, _, _ := strings.Cut(rest, "/")
	return name
}
