package encoder

import (
	"net/http"

	"medlargw.example/medlargw"
)

// statusClientClosedRequest is the nonstandard status for a client that closed
// the connection before the answer, as nginx uses it.
const statusClientClosedRequest = 499

// statuses maps each code to its HTTP status.
var statuses = map[medlargw.Code]int{
	medlargw.CodeBadRequest:      http.StatusBadRequest,
	medlargw.CodeDuplicateTask:   http.StatusBadRequest,
	medlargw.CodeTicketForged:    http.StatusBadRequest,
	medlargw.CodeUnauthorized:    http.StatusUnauthorized,
	medlargw.CodeForbidden:       http.StatusForbidden,
	medlargw.CodeUnknownService:  http.StatusNotFound,
	medlargw.CodeUnknownJob:      http.StatusNotFound,
	medlargw.CodeUnknownPage:     http.StatusNotFound,
	medlargw.CodeWrongMethod:     http.StatusMethodNotAllowed,
	medlargw.CodeTooSlow:         http.StatusRequestTimeout,
	medlargw.CodeTicketUsed:      http.StatusConflict,
	medlargw.CodeTicketExpired:   http.StatusGone,
	medlargw.CodeHomeGone:        http.StatusGone,
	medlargw.CodeTooLarge:        http.StatusRequestEntityTooLarge,
	medlargw.CodeTooManyTasks:    http.StatusRequestEntityTooLarge,
	medlargw.CodeAnswerTooLarge:  http.StatusRequestEntityTooLarge,
	medlargw.CodeNeverFits:       http.StatusUnprocessableEntity,
	medlargw.CodeOverloaded:      http.StatusTooManyRequests,
	medlargw.CodeServiceFailing:  http.StatusServiceUnavailable,
	medlargw.CodeNotReady:        http.StatusServiceUnavailable,
	medlargw.CodeStopping:        http.StatusServiceUnavailable,
	medlargw.CodeHomeUnreachable: http.StatusServiceUnavailable,
	medlargw.CodeTooLate:         http.StatusServiceUnavailable,
	medlargw.CodeDeadline:        http.StatusGatewayTimeout,
	medlargw.CodeCancelled:       statusClientClosedRequest,
	medlargw.CodeTaskFailed:      http.StatusBadGateway,
	medlargw.CodeAttemptLost:     http.StatusBadGateway,
}

// statusOf returns the HTTP status of a code; 500 if it has none.
func statusOf(code medlargw.Code) int {
	if status, ok := statuses[code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
