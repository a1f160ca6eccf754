package side

import (
	"go.uber.org/zap"

	"jacinthfront.dev/jacinthfront/internal/base/fault"
	"jacinthfront.dev/jacinthfront/internal/wire/wirepb"
)

// logRefusal logs and counts why a request was refused.
func (server *Server) logRefusal(request *wirepb.RunRequest, reason *fault.Fault) {
	server.count("refused-" + string(reason.Kind()))
	server.config.Logger.Info("admit: refused request", faultFields(request, reason)...)
}

// logFailure logs and counts why a request that was or may have been
// dispatched failed.
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

// place logs a placement decision.
func (server *Server) place(message string, ticket *ticket, fields ...zap.Field) {
	server.config.Logger.Info("place: "+message, append(ticket.fields(), fields...)...)
}

// fields names the request in the log, without its key or prompt.
func (ticket *ticket) fields() []zap.Field {
	return []zap.Field{
		zap.String("request-id", ticket.attempt.RequestID), zap.Uint32("attempt", ticket.attempt.Number),
		zap.String("organisation", ticket.organisation), zap.Stringer("adapter", ticket.ref),
	}
}
