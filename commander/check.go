package commander

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/checker"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR...",
		Short: "Report all faults of the *.medlargw files below the directories",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			teams, err := readFiles(dirs)
			if err != nil {
				return err
			}
			cmd.Printf("%d teams, no faults\n", len(teams))
			return nil
		},
	}
}

// readFiles checks the *.medlargw files below the directories.
func readFiles(dirs []string) ([]medlargw.TeamConfig, error) {
	c := checker.New()
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".medlargw" {
				return err
			}
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
	return c.Check()
}
