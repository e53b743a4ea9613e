// Package keeper serves requests that carry a ticket.
//
// Each ticket has one home, the incarnation that minted it. The home remembers
// a used ticket until one term after its expiry, so that every further
// submission with it joins the first one's end. An entry that is not the home
// passes the request on. The end of a job is kept for a bounded time and
// within a bounded number of bytes; the fact that the ticket was used is kept
// longer.
//
// Records lie in a map by the random part of the ticket, and in two queues: by
// use, to be forgotten, and by the end of the job, to drop kept answers.
package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/encoder"
	"medlargw.example/medlargw/minter"
	"medlargw.example/medlargw/registrar"
)

const (
	// sweepInterval is the time between two removals of what is out of date.
	sweepInterval = time.Second
	// keptShare is the part of the intake's bytes that kept answers may take.
	keptShare = 4
	// handoverBytes bounds the answers that a successor gets; the newest go first.
	handoverBytes = 8 << 20
)

// Keeper is the part that remembers used tickets.
type Keeper struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	minter   *minter.Minter
	encoder  *encoder.Encoder

	submitter  medlargw.Submitter
	configured medlargw.Configured
	members    medlargw.Members   // Nil knows no other entry.
	messenger  medlargw.Messenger // Nil reaches no other entry.

	mu       sync.Mutex
	records  map[[16]byte]*record
	byUse    queue
	byEnd    queue
	bytes    int64 // Of the kept answers.
	departed map[medlargw.Incarnation]time.Time
	stopping bool

	jobs   conc.WaitGroup
	cancel context.CancelFunc
	sweeps conc.WaitGroup
	done   chan struct{}
}

var (
	_ medlargw.Part           = (*Keeper)(nil)
	_ medlargw.ForwardHandler = (*Keeper)(nil)
	_ medlargw.Redeemer       = (*Keeper)(nil)
)

// New returns a keeper that has not started.
func New(log *zap.Logger, reg *registrar.Registrar, settings medlargw.Settings, m *minter.Minter) *Keeper {
	return &Keeper{
		log:      log.Named("keeper"),
		registry: reg,
		settings: settings,
		minter:   m,
		encoder:  encoder.New(settings.Intake),
		records:  map[[16]byte]*record{},
		departed: map[medlargw.Incarnation]time.Time{},
		done:     make(chan struct{}),
	}
}

// Name returns "keeper".
func (*Keeper) Name() string { return "keeper" }

// Start finds the other parts and begins to remove what is out of date.
func (k *Keeper) Start(context.Context) error {
	var err error
	if k.submitter, err = registrar.Find[medlargw.Submitter](k.registry, "dispatcher"); err != nil {
		return err
	}
	if k.configured, err = registrar.Find[medlargw.Configured](k.registry, "watcher"); err != nil {
		return err
	}
	k.members, _ = registrar.Find[medlargw.Members](k.registry, "tracker")
	k.messenger, _ = registrar.Find[medlargw.Messenger](k.registry, "messenger")
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.sweeps.Go(func() { k.sweep(ctx) })
	return nil
}

// Stop accepts no further job and waits for those that run. What was used is
// still remembered.
func (k *Keeper) Stop(ctx context.Context) error {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	k.cancel()
	k.sweeps.Go(func() {
		defer close(k.done)
		k.jobs.Wait()
	})
	select {
	case <-k.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done is closed when the last ticketed job has ended.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Mint returns n new tickets of this entry.
func (k *Keeper) Mint(team medlargw.TeamName, n int) ([]string, time.Duration) {
	now := time.Now()
	tickets := make([]string, n)
	for i := range tickets {
		tickets[i] = k.minter.Mint(now, team)
	}
	return tickets, k.minter.Term()
}

// HandleForward serves the request as the home of its ticket, or as the
// successor of that home.
func (k *Keeper) HandleForward(ctx context.Context, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	t, refused := k.open(&r)
	if refused != nil {
		return k.refusal(refused), nil
	}
	return k.serve(ctx, &t, &r), nil
}

// open checks the request's ticket.
func (k *Keeper) open(r *medlargw.ForwardRequest) (medlargw.Ticket, *medlargw.Refused) {
	t, err := k.minter.Open(r.Ticket)
	if err != nil {
		return t, &medlargw.Refused{Code: medlargw.CodeTicketForged, Message: "the ticket was not made here, or was altered"}
	}
	if t.Team != r.Team {
		return t, &medlargw.Refused{Code: medlargw.CodeForbidden, Message: "the ticket belongs to another team"}
	}
	return t, nil
}

// refusal answers a request of which nothing runs or ever has.
func (k *Keeper) refusal(refused *medlargw.Refused) medlargw.ForwardReply {
	status, body := k.encoder.EncodeRefused(refused)
	return medlargw.ForwardReply{Status: status, Body: body, RetryAfter: refused.RetryAfter}
}

// doubt answers a request that is not run, while an earlier one with its
// ticket may have been.
func (k *Keeper) doubt(code medlargw.Code, message string, retryAfter time.Duration) medlargw.ForwardReply {
	status, body := k.encoder.EncodeDoubt(&medlargw.Refused{Code: code, Message: message, RetryAfter: retryAfter})
	return medlargw.ForwardReply{Status: status, Body: body, RetryAfter: retryAfter}
}

func (k *Keeper) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			k.mu.Lock()
			k.forget(now)
			k.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
