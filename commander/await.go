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

// pollInterval is the time between two requests to the entries for their status.
const pollInterval = 250 * time.Millisecond

// errNotInForce reports that an entry does not have the generation in force.
var errNotInForce = errors.New("not in force on all entries")

// entries is a client of the entries with the addresses to contact first.
type entries struct {
	gatherer *gatherer.Gatherer
	addrs    []netip.AddrPort
}

// entries finds the entries. Without --wait, not finding them is no error.
func (f *publishFlags) entries(ctx context.Context) (*entries, error) {
	g, err := f.gatherer()
	if err != nil {
		return nil, err
	}
	e := &entries{gatherer: g}
	if f.adminKey == "" && len(f.addresses) == 0 && f.wait == 0 {
		return e, nil
	}
	e.addrs, err = f.addrs(ctx)
	if f.wait == 0 {
		// The error is ignored, since without --wait the entries only show
		// whether the store has lost generations.
		return e, nil
	}
	if err == nil && len(e.addrs) == 0 {
		err = errNoEntries
	}
	return e, err
}

func (e *entries) close() { e.gatherer.Close() }

// highestGeneration returns the highest generation that any entry has in force.
func (e *entries) highestGeneration(ctx context.Context) uint64 {
	var highest uint64
	if len(e.addrs) == 0 {
		return 0
	}
	for _, r := range e.gatherer.Status(ctx, e.addrs) {
		highest = max(highest, r.Status.Generation)
	}
	return highest
}

// await waits until all entries have the generation in force. After the wait it
// prints the entries that do not.
func (e *entries) await(cmd *cobra.Command, generation uint64, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	began := time.Now()
	for {
		// The request does not use ctx, so that the last one can complete after
		// the wait.
		responses := e.gatherer.Status(cmd.Context(), e.addrs)
		missing := entriesBehind(responses, generation)
		if len(missing) == 0 {
			cmd.Printf("generation %d in force on %d of %d entries after %s\n",
				generation, len(responses), len(responses), time.Since(began).Round(time.Millisecond))
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			printBehind(cmd, responses, generation)
			return errNotInForce
		}
	}
}

func entriesBehind(responses []medlargw.EntryResponse, generation uint64) []medlargw.EntryResponse {
	var missing []medlargw.EntryResponse
	for _, r := range responses {
		if r.Err != nil || r.Status.Generation < generation {
			missing = append(missing, r)
		}
	}
	return missing
}

func printBehind(cmd *cobra.Command, responses []medlargw.EntryResponse, generation uint64) {
	missing := entriesBehind(responses, generation)
	cmd.Printf("generation %d in force on %d of %d entries\n", generation, len(responses)-len(missing), len(responses))
	for _, r := range missing {
		if r.Err != nil {
			cmd.Printf("  %s %s: not known, it did not answer: %v\n", r.Host, r.Addr, r.Err)
		} else {
			cmd.Printf("  %s %s: generation %d\n", r.Host, r.Addr, r.Status.Generation)
		}
	}
}
