package entry

import (
	"net/http"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// maxPlainBuffer is how many bytes of the response of a plain service are held
// back. Until then the request can still be retried at another upstream.
const maxPlainBuffer = 256 << 10

// servePlain forwards a request to a plain service.
func (exchange *exchange) servePlain() *fault.Fault {
	service, path, fault := exchange.splitPlainPath()
	if fault != nil {
		return fault
	}
	route, known := exchange.config.PlainRoute(service, exchange.request.Method, path)
	if fault := exchange.authenticate(known && route.Open); fault != nil {
		return fault
	}
	if !known {
		return unknownPlainRoute()
	}
	exchange.route = route
	body, fault := exchange.readBody()
	if fault != nil {
		return fault
	}
	job, fault := newJob(exchange, &plainSink{exchange: exchange})
	if fault != nil {
		return fault
	}
	job.setTokens(0, route.Cost)
	job.template.Method, job.template.Body = exchange.request.Method, body
	job.template.Path = strings.TrimPrefix(exchange.request.URL.RequestURI(), "/services/"+service)
	if fault := job.bindIdempotencyKey(body); fault != nil {
		return fault
	}
	return job.serve()
}

func unknownPlainRoute() *fault.Fault {
	return fault.New(fault.UnknownRoute, fault.NotRun, "no route of a plain service takes this method and path; ask an operator for the routes")
}

// splitPlainPath splits the path into service and rest. It refuses forms that
// upstreams might interpret as another path than the one matched here.
func (exchange *exchange) splitPlainPath() (service, path string, err *fault.Fault) {
	escaped := strings.ToLower(exchange.request.URL.EscapedPath())
	for _, sequence := range []string{"%2f", "%5c", "%2e", "%00", "\\"} {
		if strings.Contains(escaped, sequence) {
			return "", "", badRequest("the path holds an escaped separator or dot; send it in its plain form")
		}
	}
	rest := strings.TrimPrefix(exchange.request.URL.Path, "/services/")
	service, path, _ = strings.Cut(rest, "/")
	if !strings.HasPrefix(exchange.request.URL.EscapedPath(), "/services/"+service) {
		return "", "", badRequest("the name of the service is escaped; send it in its plain form")
	}
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return "", "", badRequest("the path holds a dot segment; send the path that it leads to")
		}
	}
	return service, "/" + path, nil
}

// plainSink forwards the response of a plain service.
type plainSink struct {
	exchange *exchange
	started  *wirepb.Started
	data     []byte
}

func (plain *plainSink) start(started *wirepb.Started) error {
	plain.started = started
	return nil
}

func (plain *plainSink) chunk(data []byte) error {
	plain.data = append(plain.data, data...)
	if !plain.exchange.headerSent && len(plain.data) < maxPlainBuffer {
		return nil
	}
	return plain.send(true)
}

// send forwards the data that was held back.
func (plain *plainSink) send(flush bool) error {
	if !plain.exchange.headerSent {
		copyResponseHeaders(plain.exchange.writer.Header(), plain.started.GetHeaders())
		plain.exchange.writeHeader(plain.status(), "")
	}
	data := plain.data
	plain.data = plain.data[:0]
	if len(data) == 0 {
		return nil
	}
	return plain.exchange.write(data, flush)
}

func (plain *plainSink) status() int {
	status := int(plain.started.GetStatus())
	if status < http.StatusOK || status > 599 {
		return http.StatusBadGateway
	}
	return status
}

func (plain *plainSink) finish(*wirepb.Done) error { return plain.send(false) }

func (plain *plainSink) committed() bool { return plain.exchange.headerSent }

func (plain *plainSink) resumable() bool { return false }

func (plain *plainSink) reset() { plain.data = plain.data[:0] }

func (plain *plainSink) fail(*fault.Fault) bool { return false }
