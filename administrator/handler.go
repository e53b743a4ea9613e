package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"medlargw.example/medlargw"
)

// inspectTimeout bounds how long the control goroutine may take to answer.
const inspectTimeout = 2 * time.Second

// codeUnknownPage is the code of a response to a request for a page that does not
// exist.
const codeUnknownPage medlargw.Code = "unknown"

const contentTypeJSON = "application/json"

// status returns the status of this entry.
func (a *Administrator) status(ctx context.Context) (medlargw.EntryStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	now := time.Now()
	s := medlargw.EntryStatus{
		Self:     a.selfMember(now),
		Version:  a.version,
		Started:  a.started,
		TakenAt:  now,
		LogLevel: a.level.Level().String(),
	}
	s.Members = []medlargw.Member{s.Self}
	if a.members != nil {
		s.Members = a.members.Members()
	}
	if cfg := a.configSource.Config(); cfg != nil {
		a.recordGeneration(now)
		s.Generation = cfg.Generation
		s.ConfiguredAt = a.inForce.Load().at
		s.Classes = cfg.Classes
		s.Evacuated = cfg.Evacuated
		s.Teams = len(cfg.Teams)
		s.Services = len(cfg.Services)
	}
	var err error
	s.Dispatch, err = a.inspector.Status(ctx)
	return s, err
}

// selfMember returns this entry as a member, also without the component
// "tracker".
func (a *Administrator) selfMember(now time.Time) medlargw.Member {
	if a.members != nil {
		return a.members.Self()
	}
	return medlargw.Member{
		Host:      a.settings.Host,
		Zone:      a.settings.Zone,
		AdminAddr: a.Addr(),
		State:     medlargw.MemberLive,
		LastHeard: now,
	}
}

func (a *Administrator) showStatus(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s, err := a.status(r.Context())
	if err != nil {
		a.respondError(w, err)
		return
	}
	body, err := a.describe.EncodeStatus(&s)
	a.respond(w, body, err)
}

func (a *Administrator) showSection(section string) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		s, err := a.status(r.Context())
		if err != nil {
			a.respondError(w, err)
			return
		}
		body, err := a.describe.EncodeSection(&s, section)
		a.respond(w, body, err)
	}
}

func (a *Administrator) showBurn(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	b := a.burnInspector.BurnStatus(time.Now())
	body, err := a.describe.EncodeBurnStatus(&b)
	a.respond(w, body, err)
}

// showMetrics writes the metrics as JSON, or in the text format of Prometheus if
// the request asks for text.
func (a *Administrator) showMetrics(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if err := a.updateGauges(r.Context()); err != nil {
		a.respondError(w, err)
		return
	}
	var body bytes.Buffer
	if strings.Contains(r.Header.Get("Accept"), "text/plain") || r.URL.Query().Get("format") == "text" {
		err := a.export.WriteText(&body)
		w.Header().Set("Content-Type", a.export.ContentType())
		a.respond(w, body.Bytes(), err)
		return
	}
	err := a.export.WriteJSON(&body)
	a.respond(w, body.Bytes(), err)
}

// updateGauges sets the gauges in the registry to the current state.
func (a *Administrator) updateGauges(ctx context.Context) error {
	s, err := a.status(ctx)
	if err != nil {
		return err
	}
	waiting := map[int]int{}
	for _, c := range s.Classes {
		waiting[c.Rank] = 0
	}
	for _, q := range s.Dispatch.Queues {
		waiting[q.Rank] += q.Tasks
	}
	for rank, n := range waiting {
		a.setGauge("waiting.rank-"+strconv.Itoa(rank), n)
	}
	states := map[medlargw.TargetState]int{
		medlargw.TargetServing: 0, medlargw.TargetDraining: 0, medlargw.TargetQuarantined: 0, medlargw.TargetSetAside: 0,
	}
	for i := range s.Dispatch.Targets {
		states[s.Dispatch.Targets[i].State]++
	}
	for state, n := range states {
		a.setGauge("targets."+string(state), n)
	}
	a.setGauge("loans.lent", totalAmount(s.Dispatch.Lent))
	a.setGauge("loans.held", totalAmount(s.Dispatch.Held))
	a.setGauge("entry.jobs", s.Dispatch.Jobs)
	a.setGauge("entry.running", s.Dispatch.Running)
	a.setGauge("entry.free", s.Dispatch.Free)
	a.setGauge("entry.generation", int(s.Generation))
	a.setGauge("entry.members", len(s.Members))
	a.setGauge("zones.evacuated", len(s.Evacuated))
	return nil
}

func totalAmount(loans []medlargw.LoanStatus) int {
	n := 0
	for _, l := range loans {
		n += l.Amount
	}
	return n
}

// setGauge sets a gauge. TestEveryFamilyHasHelp of package exporter finds its
// calls by its name.
func (a *Administrator) setGauge(name string, n int) {
	metrics.GetOrRegisterGauge(name, a.metrics).Update(int64(n))
}

type jobWire struct {
	Ticket  string    `json:"ticket"`
	State   string    `json:"state"`
	Status  int       `json:"status,omitempty"` // HTTP status of the stored response.
	Expires time.Time `json:"expires"`
}

func (a *Administrator) showJob(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	ticket := p.ByName("ticket")
	if a.forwardHandler != nil {
		for _, u := range a.forwardHandler.UsedTickets() {
			if u.Ticket == ticket {
				a.respondJSON(w, newJobWire(&u))
				return
			}
		}
	}
	a.writeProblem(w, http.StatusNotFound, medlargw.CodeUnknownJob, "this entry remembers no job of that ticket")
}

func newJobWire(u *medlargw.UsedTicket) jobWire {
	job := jobWire{Ticket: u.Ticket, State: "running", Status: u.Status, Expires: u.Expires.UTC()}
	if u.JobEnded {
		job.State = "ended"
	}
	return job
}

type logWire struct {
	Level string `json:"level"`
}

func (a *Administrator) showLog(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	a.respondJSON(w, logWire{Level: a.level.Level().String()})
}

func (a *Administrator) setLog(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var wire logWire
	if !a.decodeBody(w, r, &wire) {
		return
	}
	level, err := zapcore.ParseLevel(wire.Level)
	if err != nil || level > zapcore.ErrorLevel {
		a.writeProblem(w, http.StatusBadRequest, medlargw.CodeBadRequest, "want level debug, info, warn or error")
		return
	}
	a.level.SetLevel(level)
	a.log.Info("log level changed", zap.String("level", level.String()))
	a.respondJSON(w, logWire{Level: level.String()})
}

type targetActionWire struct {
	Aside *bool `json:"aside"`
}

type targetAnswerWire struct {
	Aside bool `json:"aside"`
	Known bool `json:"known"` // Whether this entry uses the target now.
}

func (a *Administrator) setTarget(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var wire targetActionWire
	if !a.decodeBody(w, r, &wire) {
		return
	}
	if wire.Aside == nil {
		a.writeProblem(w, http.StatusBadRequest, medlargw.CodeBadRequest, "aside: missing")
		return
	}
	name := medlargw.TargetName(p.ByName("name"))
	s, err := a.status(r.Context())
	if err != nil {
		a.respondError(w, err)
		return
	}
	known := slices.ContainsFunc(s.Dispatch.Targets, func(t medlargw.TargetStatus) bool { return t.Target.Name == name })
	// The action is stored for unknown targets too, since this entry may be
	// assigned the target later.
	a.inspector.SetAside(name, *wire.Aside)
	a.log.Info("target set aside or returned to use", zap.String("target", string(name)), zap.Bool("aside", *wire.Aside))
	a.respondJSON(w, targetAnswerWire{Aside: *wire.Aside, Known: known})
}

// decodeBody decodes the request body. If the body is invalid, it writes a
// problem response and returns false.
func (a *Administrator) decodeBody(w http.ResponseWriter, r *http.Request, wire any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(wire); err != nil {
		a.writeProblem(w, http.StatusBadRequest, medlargw.CodeBadRequest, err.Error())
		return false
	}
	return true
}

func (a *Administrator) respondJSON(w http.ResponseWriter, wire any) {
	body, err := json.Marshal(wire)
	a.respond(w, append(body, '\n'), err)
}

func (a *Administrator) respond(w http.ResponseWriter, body []byte, err error) {
	if err != nil {
		a.respondError(w, err)
		return
	}
	if w.Header().Get("Content-Type") == "" {
		w.Header().Set("Content-Type", contentTypeJSON)
	}
	_, _ = w.Write(body)
}

// respondError logs an error of this entry and writes a problem response.
func (a *Administrator) respondError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		status = http.StatusServiceUnavailable
	}
	a.log.Warn("request failed", zap.Error(err))
	a.writeProblem(w, status, medlargw.CodeNotReady, err.Error())
}

type problemWire struct {
	Code   string `json:"code"`
	Detail string `json:"detail"`
}

func (*Administrator) writeProblem(w http.ResponseWriter, status int, code medlargw.Code, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemWire{Code: string(code), Detail: detail})
}
