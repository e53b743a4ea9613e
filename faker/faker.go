// Package faker is a simulated network between entries, for tests. It carries
// the messages of medlargw.Messenger in memory, and can lose, delay, duplicate
// and reorder them or partition the network. It is not used in production.
//
// Random numbers come from a fixed seed and delays from package time, so that a
// test in a bubble of testing/synctest runs in virtual time and is reproducible.
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

// errLost is the error for a message that is lost, or whose answer is lost.
var errLost = errors.New("no answer")

// Faker is one simulated network.
type Faker struct {
	mu            sync.Mutex
	rng           *rand.Rand
	endpoints     map[netip.AddrPort]*endpoint
	partitions    map[[2]netip.AddrPort]bool // By sender and receiver.
	lossRate      float64
	duplicateRate float64
	minDelay      time.Duration
	maxDelay      time.Duration
	sent          map[netip.AddrPort]int // Number of messages by sender, including answers.
}

// New returns a network without faults.
func New(seed uint64) *Faker {
	return &Faker{
		rng:        rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // Must be reproducible.
		endpoints:  map[netip.AddrPort]*endpoint{},
		partitions: map[[2]netip.AddrPort]bool{},
		sent:       map[netip.AddrPort]int{},
	}
}

// SetLoss sets the probability that a message or an answer is lost, 0 to 1.
func (f *Faker) SetLoss(probability float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate = probability
}

// SetDuplication sets the probability that a message arrives twice, 0 to 1. The
// duplicate arrives after its own random delay, and its answer is dropped.
func (f *Faker) SetDuplication(probability float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.duplicateRate = probability
}

// SetDelay sets the range of the random delay of each message and each answer.
// Messages with different delays may be reordered.
func (f *Faker) SetDelay(minDelay, maxDelay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minDelay, f.maxDelay = minDelay, maxDelay
}

// SetPartition starts or ends a partition in one direction: while cut is set,
// all messages that one address sends to the other are lost.
func (f *Faker) SetPartition(from, to netip.AddrPort, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitions[[2]netip.AddrPort{from, to}] = cut
}

// SetPartitionBetween starts or ends a partition, in both directions, between
// two groups of addresses.
func (f *Faker) SetPartitionBetween(some, others []netip.AddrPort, cut bool) {
	for _, a := range some {
		for _, b := range others {
			f.SetPartition(a, b, cut)
			f.SetPartition(b, a, cut)
		}
	}
}

// MessagesSent returns the number of messages that the address sent, including
// answers.
func (f *Faker) MessagesSent(addr netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent[addr]
}

// delivery says how one message is delivered.
type delivery struct {
	lost           bool
	duplicate      bool
	delay          time.Duration
	duplicateDelay time.Duration // Delay of the duplicate.
}

// planDelivery counts a message and draws its faults at random.
func (f *Faker) planDelivery(from, to netip.AddrPort) delivery {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[from]++
	return delivery{
		lost:           f.rng.Float64() < f.lossRate || f.partitions[[2]netip.AddrPort{from, to}],
		duplicate:      f.rng.Float64() < f.duplicateRate,
		delay:          f.randomDelay(),
		duplicateDelay: f.randomDelay(),
	}
}

func (f *Faker) randomDelay() time.Duration {
	if f.maxDelay <= f.minDelay {
		return f.minDelay
	}
	return f.minDelay + time.Duration(f.rng.Int64N(int64(f.maxDelay-f.minDelay)))
}

func (f *Faker) endpointAt(addr netip.AddrPort) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endpoints[addr]
}

// NewMessenger returns a component "messenger" that serves the address on this
// network.
func (f *Faker) NewMessenger(reg *registrar.Registrar, addr netip.AddrPort) medlargw.Component {
	return &endpoint{network: f, registry: reg, addr: addr, done: make(chan struct{})}
}

// sleep waits for the duration or until the context ends. It returns the
// context's error in the second case.
func sleep(ctx context.Context, d time.Duration) error {
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

// call delivers a message to a handler of the peer and returns the answer, with
// the faults of the network in both directions. A lost message or answer makes
// it wait until the context ends.
func call[T, R any](
	ctx context.Context, e *endpoint, to netip.AddrPort, message T,
	handler func(peer *endpoint) func(context.Context, T) (R, error),
) (R, error) {
	var zero R
	outbound := e.network.planDelivery(e.addr, to)
	peer := e.network.endpointAt(to)
	if peer == nil || !peer.serving() {
		return zero, fmt.Errorf("peer %s: connection refused", to)
	}
	handle := handler(peer)
	if handle == nil {
		return zero, fmt.Errorf("peer %s: no handler", to)
	}
	if outbound.duplicate && !outbound.lost {
		e.duplicates.Go(func() {
			if sleep(e.ctx, outbound.duplicateDelay) == nil {
				_, _ = handle(e.ctx, message)
			}
		})
	}
	if outbound.lost {
		<-ctx.Done()
		return zero, fmt.Errorf("peer %s: %w: %w", to, errLost, ctx.Err())
	}
	if err := sleep(ctx, outbound.delay); err != nil {
		return zero, err
	}
	reply, err := handle(ctx, message)
	inbound := e.network.planDelivery(to, e.addr)
	if inbound.lost {
		<-ctx.Done()
		return zero, fmt.Errorf("peer %s: %w: %w", to, errLost, ctx.Err())
	}
	if waitErr := sleep(ctx, inbound.delay); waitErr != nil {
		return zero, waitErr
	}
	return reply, err
}
