package commander

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/gatherer"
)

// pollTime is the time between two looks at the entries.
const pollTime = 250 * time.Millisecond

// errNotInForce says that an entry doesn't have the generation in force.
var errNotInForce = errors.New("not in force on all entries")

// entries are the entries that a publish concerns.
type entries struct {
	gatherer *gatherer.Gatherer
	addrs    []netip.AddrPort
}

// entries finds the entries. Only --wait needs any.
func (f *publishFlags) entries(ctx context.Context) (*entries, error) {
	g, err := f.gatherer()
	if err != nil {
		return nil, err
	}
	e := &entries{gatherer: g}
	if f.key == "" && len(f.admin) == 0 && f.wait == 0 {
		return e, nil
	}
	e.addrs, err = f.addrs(ctx)
	if f.wait == 0 {
		return e, nil // They would only tell whether the store went back.
	}
	if err == nil && len(e.addrs) == 0 {
		err = errNobody
	}
	return e, err
}

func (e *entries) close() { e.gatherer.Close() }

// highest returns the highest generation that an entry has in force.
func (e *entries) highest(ctx context.Context) uint64 {
	var highest uint64
	if len(e.addrs) == 0 {
		return 0
	}
	for _, a := range e.gatherer.Status(ctx, e.addrs) {
		highest = max(highest, a.Status.Generation)
	}
	return highest
}

// await waits until all entries have the generation in force, and names those
// that don't.
func (e *entries) await(cmd *cobra.Command, generation uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	began := time.Now()
	for {
		// The last look may outlive the wait a little, so that it can end.
		answers := e.gatherer.Status(cmd.Context(), e.addrs)
		missing := lacking(answers, generation)
		if len(missing) == 0 {
			cmd.Printf("generation %d in force on %d of %d entries after %s\n",
				generation, len(answers), len(answers), time.Since(began).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(pollTime):
		case <-ctx.Done():
			printLacking(cmd, answers, generation)
			return errNotInForce
		}
	}
}

func lacking(answers []medlargw.EntryAnswer, generation uint64) []medlargw.EntryAnswer {
	var missing []medlargw.EntryAnswer
	for _, a := range answers {
		if a.Err != nil || a.Status.Generation < generation {
			missing = append(missing, a)
		}
	}
	return missing
}

func printLacking(cmd *cobra.Command, answers []medlargw.EntryAnswer, generation uint64) {
	missing := lacking(answers, generation)
	cmd.Printf("generation %d in force on %d of %d entries\n", generation, len(answers)-len(missing), len(answers))
	for _, a := range missing {
		if a.Err != nil {
			cmd.Printf("  %s %s: not known, it did not answer: %v\n", a.Host, a.Addr, a.Err)
		} else {
			cmd.Printf("  %s %s: generation %d\n", a.Host, a.Addr, a.Status.Generation)
		}
	}
}
