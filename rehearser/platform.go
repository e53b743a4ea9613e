package rehearser

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw/platform/standin"
)

// platformCommand returns the command that simulates the operators' platform.
func platformCommand() *cobra.Command {
	var listen, settings string
	var targets int
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Simulate the operators' platform: its store, and targets that run tasks under a lease",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			addr, err := netip.ParseAddrPort(listen)
			if err != nil {
				return fmt.Errorf("parse listen address: %w", err)
			}
			s := standin.New(time.Now)
			text, err := s.ServeInstallation(addr, targets)
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
			for _, violation := range s.Targets.Violations() {
				cmd.Println("broken: " + violation)
			}
			if len(s.Targets.Violations()) > 0 {
				return errViolation
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7800", "address of the store")
	cmd.Flags().IntVar(&targets, "targets", 4, "number of targets")
	cmd.Flags().StringVar(&settings, "settings", "settings.toml", "file to which the settings of an entry are written")
	return cmd
}
