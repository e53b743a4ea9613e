package sender

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"medlargw.example/medlargw"
)

func TestNotStartedReasons(t *testing.T) {
	tests := []struct {
		text string
		want medlargw.EndReason
	}{
		{"busy", medlargw.ReasonBusy},
		{"BUSY", medlargw.ReasonBusy},
		{"Leaving", medlargw.ReasonDraining},
		{"unreachable", medlargw.ReasonProtocol},
		{"request 7f3a", medlargw.ReasonProtocol},
	}
	s := New(testTask, "z")
	a := attemptTo("127.0.0.1:1", "")
	for _, tt := range tests {
		resp := &http.Response{
			StatusCode: http.StatusServiceUnavailable,
			Header:     http.Header{},
			Body:       io.NopCloser(strings.NewReader("")),
		}
		resp.Header.Set(headerAttempt, string(a.ID))
		resp.Header.Set(headerNotStarted, tt.text)
		end := s.endOfResponse(t.Context(), a, resp)
		got := fmt.Sprint(end.Kind, " ", end.Reason)
		if want := fmt.Sprint(medlargw.EndNotStarted, " ", tt.want); got != want {
			t.Errorf("end for %q: got %s, want %s", tt.text, got, want)
		}
	}
}
