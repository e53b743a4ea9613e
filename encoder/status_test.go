package encoder

import (
	"net/http"
	"testing"

	"medlargw.example/medlargw"
)

// TestStatusOfCodes checks that failures caused by the caller have other statuses
// than failures of the system or of a target.
func TestStatusOfCodes(t *testing.T) {
	tests := []struct {
		code medlargw.Code
		want int
	}{
		{medlargw.CodeTooSlow, http.StatusRequestTimeout},
		{medlargw.CodeTooLate, http.StatusServiceUnavailable},
		{medlargw.CodeOverloaded, http.StatusTooManyRequests},
		{medlargw.CodeDeadline, http.StatusGatewayTimeout},
		{medlargw.CodeTaskFailed, http.StatusBadGateway},
		{medlargw.CodeAttemptLost, http.StatusBadGateway},
		{medlargw.CodeTicketUsed, http.StatusConflict},
	}
	for _, tt := range tests {
		if got := statusOf(tt.code); got != tt.want {
			t.Errorf("status of %s: got %d, want %d", tt.code, got, tt.want)
		}
	}
}
