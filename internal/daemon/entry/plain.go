package entry

import (
	"net/http"
	"strings"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// plainBuffer is how much of a plain service's answer is kept back, so that
// the work can still move to another upstream.
const plainBuffer = 256 << 10

// servePlain passes a call to a plain service on.
func (exchange *exchange) servePlain() *fault.Fault {
	service, path, fault := exchange.plainPath()
	if fault != nil {
		return fault
	}
	route, known := exchange.config.PlainRoute(service, exchange.request.Method, path)
	if fault := exchange.authenticate(known && route.Open); fault != nil {
		return fault
	}
	if !known {
		return unknownPlain()
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
	if fault := job.claimKey(body); fault != nil {
		return fault
	}
	return job.serve()
}

func unknownPlain() *fault.Fault {
	return fault.New(fault.UnknownRoute, fault.NotRun, "no route of a plain service takes this method and path; ask an operator for the routes")
}

// plainPath splits the path into service and rest. Forms that upstreams might
// read as another path than the one matched here are refused.
func (exchange *exchange) plainPath() (service, path string, err *fault.Fault) {
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

// plainSink passes a plain service's answer on.
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
	if !plain.exchange.begun && len(plain.data) < plainBuffer {
		return nil
	}
	return plain.send(true)
}

// send passes on what has been kept back.
func (plain *plainSink) send(flush bool) error {
	if !plain.exchange.begun {
		setAnswerHeaders(plain.exchange.writer.Header(), plain.started.GetHeaders())
		plain.exchange.begin(plain.status(), "")
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

func (plain *plainSink) committed() bool { return plain.exchange.begun }

func (plain *plainSink) resumable() bool { return false }

func (plain *plainSink) reset() { plain.data = plain.data[:0] }

func (plain *plainSink) fail(*fault.Fault) bool { return false }
