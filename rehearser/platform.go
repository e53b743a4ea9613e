package rehearser

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw/platform/standin"
)

// platformCommand stands in for the operators' platform.
func platformCommand() *cobra.Command {
	var listen, settings string
	var targets int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Stand in for the operators' platform: its store, and targets that run tasks under a lease",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := netip.ParseAddrPort(listen)
			if err != nil {
				return fmt.Errorf("address to listen on: %w", err)
			}
			s := standin.New(time.Now)
			text, err := s.Site(addr, targets)
			if err != nil {
				return err
			}
			if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
				return err
			}
			<-cmd.Context().Done()
			if err := s.Stop(); err != nil {
				return err
			}
			for _, broken := range s.Targets.Broken() {
				cmd.Println("broken: " + broken)
			}
			if len(s.Targets.Broken()) > 0 {
				return errBroken
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7800", "address of the store")
	cmd.Flags().IntVar(&targets, "targets", 4, "number of targets")
	cmd.Flags().StringVar(&settings, "settings", "settings.toml", "file to write the settings of an entry to")
	return cmd
}
