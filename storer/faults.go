package storer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
)

// The errors that faults cause.
var (
	errOutage    = errors.New("the platform is down")
	errLostReply = errors.New("the reply was lost")
)

// SetFaults replaces the faults that the calls meet from now on.
func (s *Storer) SetFaults(f medlargw.StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// begin counts a call and has it meet its faults.
func (s *Storer) begin(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		timer := time.NewTimer(f.Slow)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Outage {
		return errOutage
	}
	return ctx.Err()
}

// loseReply returns the error that a writer sees whose write took effect. The
// lock is held.
func (s *Storer) loseReply() error {
	if s.faults.LostReplies == 0 {
		return nil
	}
	s.faults.LostReplies--
	return errLostReply
}

type faultsWire struct {
	Outage bool   `json:"outage"`
	Slow   string `json:"slow"`
	Lost   int    `json:"lost"`
	Lag    string `json:"lag"`
}

type callsWire struct {
	Calls uint64 `json:"calls"`
}

func (s *Storer) serveCalls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_ = json.NewEncoder(w).Encode(callsWire{Calls: s.Calls()})
}

func (s *Storer) servePutFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f, err := decodeFaults(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func decodeFaults(body io.Reader) (medlargw.StoreFaults, error) {
	var wire faultsWire
	if err := json.NewDecoder(body).Decode(&wire); err != nil {
		return medlargw.StoreFaults{}, err
	}
	slow, err := duration(wire.Slow)
	if err != nil {
		return medlargw.StoreFaults{}, err
	}
	lag, err := duration(wire.Lag)
	if err != nil {
		return medlargw.StoreFaults{}, err
	}
	return medlargw.StoreFaults{Outage: wire.Outage, Slow: slow, LostReplies: wire.Lost, Lag: lag}, nil
}

// duration reads a duration; an empty one is zero.
func duration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
