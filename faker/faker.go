// Package faker is a network between entries for tests. It carries the messages
// of medlargw.Messenger in memory, and loses, delays, doubles, reorders and cuts
// them as a test asks. It is never needed in production.
//
// Its randomness comes from a fixed seed and its delays from package time, so
// that a test in a bubble of testing/synctest has virtual time and repeats
// itself.
package faker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/registrar"
)

// errLost is what a sender sees of a message that got no answer.
var errLost = errors.New("no answer")

// Faker is one network.
type Faker struct {
	mu     sync.Mutex
	random *rand.Rand
	links  map[netip.AddrPort]*link
	cuts   map[[2]netip.AddrPort]bool // From one address to another.
	loss   float64
	double float64
	least  time.Duration
	most   time.Duration
	sent   map[netip.AddrPort]int // Messages by sender, answers included.
}

// New returns a network without faults.
func New(seed uint64) *Faker {
	return &Faker{
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Must repeat itself.
		links:  map[netip.AddrPort]*link{},
		cuts:   map[[2]netip.AddrPort]bool{},
		sent:   map[netip.AddrPort]int{},
	}
}

// SetLoss sets the share of messages and of answers that are lost, 0 to 1.
func (f *Faker) SetLoss(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = share
}

// SetDouble sets the share of messages that arrive twice, 0 to 1. The second
// arrives after a delay of its own; its answer is dropped.
func (f *Faker) SetDouble(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.double = share
}

// SetDelay sets the bounds of the delay of each message and each answer.
// Messages whose delays differ overtake each other.
func (f *Faker) SetDelay(least, most time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.least, f.most = least, most
}

// Cut loses all that one address sends to another from now on. A full cut
// needs both directions.
func (f *Faker) Cut(from, to netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cuts[[2]netip.AddrPort{from, to}] = cut
}

// CutBoth cuts or heals both directions between each address of two groups.
func (f *Faker) CutBoth(some, others []netip.AddrPort, cut bool) {
	for _, a := range some {
		for _, b := range others {
			f.Cut(a, b, cut)
			f.Cut(b, a, cut)
		}
	}
}

// Sent returns the number of messages that the address sent, answers included.
func (f *Faker) Sent(addr netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[addr]
}

// passage is what befalls one message.
type passage struct {
	lost   bool
	double bool
	delay  time.Duration
	second time.Duration // Delay of the double.
}

func (f *Faker) pass(from, to netip.AddrPort) passage {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[from]++
	return passage{
		lost:   f.random.Float64() < f.loss || f.cuts[[2]netip.AddrPort{from, to}],
		double: f.random.Float64() < f.double,
		delay:  f.delay(),
		second: f.delay(),
	}
}

func (f *Faker) delay() time.Duration {
	if f.most <= f.least {
		return f.least
	}
	return f.least + time.Duration(f.random.Int64N(int64(f.most-f.least)))
}

func (f *Faker) find(addr netip.AddrPort) *link {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[addr]
}

// Join returns a part "messenger" that serves the address on this network.
func (f *Faker) Join(reg *registrar.Registrar, addr netip.AddrPort) medlargw.Part {
	return &link{net: f, registry: reg, addr: addr, done: make(chan struct{})}
}

// wait passes the time, or returns the context's error.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// carry takes a message to a handler of the peer and its answer back.
func carry[T, R any](
	ctx context.Context, l *link, to netip.AddrPort, message T,
	handler func(peer *link) func(context.Context, T) (R, error),
) (R, error) {
	var none R
	there := l.net.pass(l.addr, to)
	peer := l.net.find(to)
	if peer == nil || !peer.serving() {
		return none, fmt.Errorf("peer %s: connection refused", to)
	}
	handle := handler(peer)
	if handle == nil {
		return none, fmt.Errorf("peer %s: no handler", to)
	}
	if there.double && !there.lost {
		l.running.Go(func() {
			if wait(l.ctx, there.second) == nil {
				_, _ = handle(l.ctx, message)
			}
		})
	}
	if there.lost {
		<-ctx.Done()
		return none, fmt.Errorf("peer %s: %w: %w", to, errLost, ctx.Err())
	}
	if err := wait(ctx, there.delay); err != nil {
		return none, err
	}
	reply, err := handle(ctx, message)
	back := l.net.pass(to, l.addr)
	if back.lost {
		<-ctx.Done()
		return none, fmt.Errorf("peer %s: %w: %w", to, errLost, ctx.Err())
	}
	if waitErr := wait(ctx, back.delay); waitErr != nil {
		return none, waitErr
	}
	return reply, err
}
