package side

import (
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// logRefusal logs and counts a refused request.
func (server *Server) logRefusal(request *wirepb.RunRequest, reason *fault.Fault) {
	server.count("refused-" + string(reason.Kind()))
	server.config.Logger.Info("admit: refused request", faultFields(request, reason)...)
}

// logFailure logs and counts a request that failed after it was, or may have
// been, dispatched.
func (server *Server) logFailure(request *wirepb.RunRequest, reason *fault.Fault) {
	server.count("failed-" + string(reason.Kind()))
	server.config.Logger.Warn("place: request failed", faultFields(request, reason)...)
}

func faultFields(request *wirepb.RunRequest, reason *fault.Fault) []zap.Field {
	return []zap.Field{
		zap.String("request-id", request.GetRequestId()), zap.Uint32("attempt", request.GetAttempt()),
		zap.String("organisation", request.GetOrganisation()), zap.String("adapter", request.GetAdapter()),
		zap.String("reason", string(reason.Kind())), zap.String("ran", string(reason.Ran())),
		zap.Duration("retry-after", reason.RetryAfter()),
	}
}

// logPlacement logs a decision about one request at this upstream.
func (server *Server) logPlacement(message string, task *task, fields ...zap.Field) {
	server.config.Logger.Info("place: "+message, append(task.logFields(), fields...)...)
}

// logFields identifies the request in the log, without its key or prompt.
func (task *task) logFields() []zap.Field {
	return []zap.Field{
		zap.String("request-id", task.attempt.RequestID), zap.Uint32("attempt", task.attempt.Number),
		zap.String("organisation", task.organisation), zap.Stringer("adapter", task.ref),
	}
}
