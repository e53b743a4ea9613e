package commander

import (
	"context"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/checker"
	"medlargw.example/medlargw/publisher"
)

// fileExtension is the extension of files with declarations.
const fileExtension = ".medlargw"

func checkCommand() *cobra.Command {
	var store string
	cmd := &cobra.Command{
		Use:   "check DIR...",
		Short: "Report all faults of the *.medlargw files below the directories",
		Long: "Report all faults of the *.medlargw files below the directories, one line each.\n" +
			"With --store, the files are checked together with the configuration in force of other teams.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			files, err := readFiles(dirs)
			if err != nil {
				return err
			}
			inForce, err := readInForce(cmd.Context(), store)
			if err != nil {
				return err
			}
			if err := files.Check(inForce); err != nil {
				return err
			}
			cmd.Printf("no faults: %d teams\n", len(files.Teams()))
			return nil
		},
	}
	cmd.Flags().StringVar(&store, "store", "", "address of the store")
	return cmd
}

// readInForce returns the configuration in force, or nil without a store.
func readInForce(ctx context.Context, store string) ([]medlargw.TeamConfig, error) {
	if store == "" {
		return nil, nil
	}
	platform, err := openStore(store)
	if err != nil {
		return nil, err
	}
	defer platform.Close()
	return publisher.New(platform).Read(ctx)
}

func openStore(store string) (*accessor.Accessor, error) {
	addr, err := netip.ParseAddrPort(store)
	if err != nil {
		return nil, fmt.Errorf("parse address of the store: %w", err)
	}
	return accessor.New(addr, readTimeout), nil
}

// readFiles reads the *.medlargw files below the directories, each file once.
func readFiles(dirs []string) (*checker.Checker, error) {
	c := checker.New()
	found := map[string]bool{}
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != fileExtension {
				return err
			}
			absolute, err := filepath.Abs(path)
			if err != nil || found[absolute] {
				return err
			}
			found[absolute] = true
			text, err := os.ReadFile(path) //nolint:gosec // The operator names the directory.
			if err != nil {
				return err
			}
			c.Add(path, text)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("read declarations: %w", err)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("read declarations: no *%s file below %q", fileExtension, dirs)
	}
	return c, nil
}
