// Package keeper serves requests that carry a ticket.
//
// Each ticket has one home: the incarnation of an entry that minted it. The
// home keeps a record of a used ticket until one ticket lifetime after its
// expiry. A repeated submission with the ticket starts no second job: it waits
// for the end of the first and gets the same answer. An entry that is not the
// home forwards the request to it. The answer of a job is kept for a limited
// time and within a limited number of bytes; the record that the ticket was used
// is kept longer.
//
// Records are stored in a map by the random part of the ticket, and in two
// queues: in the order of first use, to remove expired records, and in the
// order in which the jobs ended, to evict answers.
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
	// sweepInterval is the time between two removals of expired data.
	sweepInterval = time.Second
	// keptBytesDivisor divides the intake's byte limit; kept answers may take the
	// quotient.
	keptBytesDivisor = 4
	// maxHandoverBytes limits the answers that are sent to a successor. Those of
	// the tickets that were first used last take precedence.
	maxHandoverBytes = 8 << 20
)

// Keeper is the component that keeps records of used tickets.
type Keeper struct {
	log      *zap.Logger
	registry *registrar.Registrar
	settings medlargw.Settings
	minter   *minter.Minter
	encoder  *encoder.Encoder

	submitter    medlargw.Submitter
	configSource medlargw.ConfigSource
	members      medlargw.Members   // May be nil: no other entry is known.
	messenger    medlargw.Messenger // May be nil: no other entry can be reached.

	mu         sync.Mutex
	records    map[[16]byte]*record
	byFirstUse queue
	byJobEnd   queue
	keptBytes  int64                              // Total size of the kept answers.
	departed   map[medlargw.Incarnation]time.Time // Incarnations that handed over their tickets, and when to forget them.
	stopping   bool

	jobs       conc.WaitGroup
	cancel     context.CancelFunc
	background conc.WaitGroup
	done       chan struct{}
}

var (
	_ medlargw.Component      = (*Keeper)(nil)
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

// Start looks up the other components and starts the removal of expired
// records.
func (k *Keeper) Start(context.Context) error {
	var err error
	if k.submitter, err = registrar.Find[medlargw.Submitter](k.registry, "dispatcher"); err != nil {
		return err
	}
	if k.configSource, err = registrar.Find[medlargw.ConfigSource](k.registry, "watcher"); err != nil {
		return err
	}
	k.members, _ = registrar.Find[medlargw.Members](k.registry, "tracker")
	k.messenger, _ = registrar.Find[medlargw.Messenger](k.registry, "messenger")
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	k.background.Go(func() { k.runSweeper(ctx) })
	return nil
}

// Stop refuses new jobs and waits for the running ones. The records of used
// tickets stay available.
func (k *Keeper) Stop(ctx context.Context) error {
	k.mu.Lock()
	k.stopping = true
	k.mu.Unlock()
	k.cancel()
	k.background.Go(func() {
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

// Done returns a channel that is closed when the last job with a ticket has
// ended.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Mint returns n new tickets with this entry as their home, and their lifetime.
func (k *Keeper) Mint(team medlargw.TeamName, n int) ([]string, time.Duration) {
	now := time.Now()
	tickets := make([]string, n)
	for i := range tickets {
		tickets[i] = k.minter.Mint(now, team)
	}
	return tickets, k.minter.TicketLifetime()
}

// HandleForward serves the request as the home of its ticket, or as the
// successor of that home.
func (k *Keeper) HandleForward(ctx context.Context, r medlargw.ForwardRequest) (medlargw.ForwardReply, error) {
	t, refused := k.verifyTicket(&r)
	if refused != nil {
		return k.refusedReply(refused), nil
	}
	return k.serve(ctx, &t, &r), nil
}

// verifyTicket decodes the ticket of the request, and checks that it is
// authentic and belongs to the team.
func (k *Keeper) verifyTicket(r *medlargw.ForwardRequest) (medlargw.Ticket, *medlargw.RefusedError) {
	t, err := k.minter.Verify(r.Ticket)
	if err != nil {
		return t, &medlargw.RefusedError{Code: medlargw.CodeTicketForged, Message: "the ticket was not made here, or was altered"}
	}
	if t.Team != r.Team {
		return t, &medlargw.RefusedError{Code: medlargw.CodeForbidden, Message: "the ticket belongs to another team"}
	}
	return t, nil
}

// refusedReply returns the reply to a request for which nothing runs or has ever
// run.
func (k *Keeper) refusedReply(refused *medlargw.RefusedError) medlargw.ForwardReply {
	status, body := k.encoder.EncodeRefused(refused)
	return medlargw.ForwardReply{Status: status, Body: body, RetryAfter: refused.RetryAfter}
}

// uncertainReply returns the reply to a request that is not run itself, while an
// earlier request with the same ticket may have been.
func (k *Keeper) uncertainReply(code medlargw.Code, message string, retryAfter time.Duration) medlargw.ForwardReply {
	status, body := k.encoder.EncodeUncertain(&medlargw.RefusedError{Code: code, Message: message, RetryAfter: retryAfter})
	return medlargw.ForwardReply{Status: status, Body: body, RetryAfter: retryAfter}
}

func (k *Keeper) runSweeper(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			k.mu.Lock()
			k.removeExpired(now)
			k.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}
