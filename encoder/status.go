package encoder

import (
	"net/http"

	"medlargw.example/medlargw"
)

// statusClientClosed is the customary status for a caller that went away.
const statusClientClosed = 499

// statusOf maps a code to the HTTP status that callers expect.
func statusOf(code medlargw.Code) int {
	switch code {
	case medlargw.CodeBadRequest, medlargw.CodeDuplicateTask, medlargw.CodeTicketForged:
		return http.StatusBadRequest
	case medlargw.CodeUnauthorized:
		return http.StatusUnauthorized
	case medlargw.CodeForbidden:
		return http.StatusForbidden
	case medlargw.CodeUnknownService, medlargw.CodeUnknownJob, medlargw.CodeUnknownPage:
		return http.StatusNotFound
	case medlargw.CodeWrongMethod:
		return http.StatusMethodNotAllowed
	case medlargw.CodeTooSlow:
		return http.StatusRequestTimeout
	case medlargw.CodeTicketUsed:
		return http.StatusConflict
	case medlargw.CodeTicketExpired, medlargw.CodeHomeGone:
		return http.StatusGone
	case medlargw.CodeTooLarge, medlargw.CodeTooManyTasks, medlargw.CodeAnswerTooLarge:
		return http.StatusRequestEntityTooLarge
	case medlargw.CodeNeverFits:
		return http.StatusUnprocessableEntity
	case medlargw.CodeOverloaded:
		return http.StatusTooManyRequests
	case medlargw.CodeServiceFailing, medlargw.CodeNotReady, medlargw.CodeStopping,
		medlargw.CodeHomeCutOff, medlargw.CodeTooLate:
		return http.StatusServiceUnavailable
	case medlargw.CodeDeadline:
		return http.StatusGatewayTimeout
	case medlargw.CodeCancelled:
		return statusClientClosed
	case medlargw.CodeTaskFailed, medlargw.CodeAttemptLost:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
