package commander

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/checker"
	"medlargw.example/medlargw/publisher"
)

// defaultPublishTimeout is the default timeout of one publish, retries included.
const defaultPublishTimeout = 30 * time.Second

// defaultWait is the time within which an accepted configuration is in force on
// every reachable entry.
const defaultWait = 19 * time.Second

// publishKeyVariable names the environment variable that holds the publishing
// key.
const publishKeyVariable = "MEDLARGW_KEY"

// publishFlags are the flags of publish.
type publishFlags struct {
	entryFlags

	timeout    time.Duration
	wait       time.Duration
	publishKey string
	base       string
	dryRun     bool
	prune      bool
	recover    bool
}

func publishCommand() *cobra.Command {
	var f publishFlags
	cmd := &cobra.Command{
		Use:   "publish DIR...",
		Short: "Check the *.medlargw files below the directories and put them into force",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			files, err := readFiles(dirs)
			if err != nil {
				return err
			}
			return f.publish(cmd, files)
		},
	}
	cmd.Flags().StringVar(&f.publishKey, "key", os.Getenv(publishKeyVariable), "publishing key; by default that of "+publishKeyVariable)
	f.register(cmd, "admin-key")
	cmd.Flags().DurationVar(&f.timeout, "timeout", defaultPublishTimeout, "longest time to try when the store doesn't answer")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "wait up to that long until the entries have it in force; alone, 19s")
	cmd.Flags().Lookup("wait").NoOptDefVal = defaultWait.String()
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "show what would change, and write nothing")
	cmd.Flags().StringVar(&f.base, "base", "", "publish only if nothing has changed since the dry run that printed this base")
	cmd.Flags().BoolVar(&f.prune, "prune", false, "allow the publish to remove declarations")
	cmd.Flags().BoolVar(&f.recover, "recover", false, "publish above the entries' generation when the store has lost generations")
	cmd.Flags().Lookup("key").DefValue = ""
	_ = cmd.MarkFlagRequired("store")
	return cmd
}

func (f *publishFlags) publish(cmd *cobra.Command, files *checker.Checker) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
	defer cancel()
	platform, err := openStore(f.store)
	if err != nil {
		return err
	}
	defer platform.Close()
	p := publisher.New(platform)
	p.Prune = f.prune || f.dryRun
	p.Recover = f.recover
	p.BaseDigest = f.base
	p.Check = files.Check
	if f.publishKey != "" {
		p.Keys = []string{f.publishKey}
	}
	entries, err := f.entries(ctx)
	if err != nil {
		return err
	}
	defer entries.close()
	p.UsedGeneration = entries.highestGeneration(ctx)
	plan, err := p.Plan(ctx, files.Teams())
	if err == nil || f.dryRun {
		f.print(cmd, plan)
	}
	if err != nil || f.dryRun {
		return err
	}
	generation, err := p.Publish(ctx, files.Teams())
	if err != nil {
		return err
	}
	if len(plan.Changes) > 0 {
		cmd.Printf("generation %d accepted\n", generation)
	}
	if f.wait == 0 {
		return nil
	}
	return entries.await(cmd, generation, f.wait)
}

func (f *publishFlags) print(cmd *cobra.Command, plan medlargw.Plan) {
	removed := false
	for i := range plan.Changes {
		cmd.Println(plan.Changes[i].String())
		removed = removed || plan.Changes[i].Removed()
	}
	if len(plan.Changes) == 0 {
		cmd.Printf("nothing to change: generation %d is in force\n", plan.Generation)
	}
	if f.dryRun {
		cmd.Printf("base %s\n", plan.BaseDigest)
	}
	if f.dryRun && removed && !f.prune {
		cmd.PrintErrln("warning: something is removed, which needs --prune")
	}
	if !plan.DeploymentPublished {
		cmd.PrintErrf("warning: team %s is not in force yet, so anybody may publish anything\n", medlargw.DeploymentTeam)
	}
}
