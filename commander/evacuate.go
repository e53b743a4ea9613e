package commander

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/publisher"
)

// evacuateFlags are the flags of evacuate.
type evacuateFlags struct {
	entryFlags

	timeout    time.Duration
	wait       time.Duration
	publishKey string
	back       bool
}

func evacuateCommand() *cobra.Command {
	var f evacuateFlags
	cmd := &cobra.Command{
		Use:   "evacuate ZONE",
		Short: "Stop all entries from starting tasks on the targets of a zone, or let them",
		Long: "Stop all entries from starting tasks on the targets of a zone, until --back takes\n" +
			"the request back. Tasks that run there end as they are.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return f.evacuate(cmd, medlargw.ZoneName(args[0]))
		},
	}
	cmd.Flags().BoolVar(&f.back, "back", false, "take the request back")
	cmd.Flags().StringVar(&f.publishKey, "key", os.Getenv(publishKeyVariable), "publishing key of the operators; by default that of "+publishKeyVariable)
	f.register(cmd, "admin-key")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultPublishTimeout, "longest time to try when the store doesn't answer")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait up to that long until the entries have it in force; alone, 19s")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultWait.String()
	cmd.Flags().Lookup("key").DefValue = ""
	_ = cmd.MarkFlagRequired("store")
	return cmd
}

func (f *evacuateFlags) evacuate(cmd *cobra.Command, zone medlargw.ZoneName) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	platform, err := openStore(f.store)
	if err != nil {
		return err
	}
	defer platform.Close()
	if !f.back {
		list, err := platform.Hosts(ctx)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(list.Targets, func(t medlargw.Target) bool { return t.Zone == zone }) {
			return fmt.Errorf("no target in zone %s", zone)
		}
	}
	flags := publishFlags{entryFlags: f.entryFlags, wait: f.wait}
	entries, err := flags.entries(ctx)
	if err != nil {
		return err
	}
	defer entries.close()
	p := publisher.New(platform)
	p.UsedGeneration = entries.highestGeneration(ctx)
	if f.publishKey != "" {
		p.Keys = []string{f.publishKey}
	}
	generation, err := p.Evacuate(ctx, zone, !f.back)
	if err != nil {
		return err
	}
	state := "evacuated"
	if f.back {
		state = "in use"
	}
	cmd.Printf("zone %s is %s from generation %d on\n", zone, state, generation)
	if f.wait == 0 {
		return nil
	}
	return entries.await(cmd, generation, f.wait)
}
