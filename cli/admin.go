package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"onyxsail/admin"
	"onyxsail/config"
)

// adminTimeout is how long a command waits for the admin port to answer.
const adminTimeout = 5 * time.Second

// adminCmds returns the commands that call a broker's admin port. Their exit status is 0
// after a 2xx response and 1 otherwise.
func adminCmds(configPath *string) []*cobra.Command {
	var cmds []*cobra.Command
	for _, spec := range []struct{ name, short, method, path string }{
		{"ready", "Check whether a broker accepts clients", http.MethodGet, admin.ReadyPath},
		{"metrics", "Print a broker's metrics", http.MethodGet, admin.MetricsPath},
		{"drain", "Start draining a broker", http.MethodPost, admin.DrainPath},
		{"resume", "End the drain of a broker", http.MethodPost, admin.ResumePath},
	} {
		var console string
		cmd := &cobra.Command{
			Use: spec.name, Short: spec.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				addr, err := adminAddr(console, *configPath)
				if err != nil {
					return err
				}
				ctx, cancel := context.WithTimeout(cmd.Context(), adminTimeout)
				defer cancel()
				body, err := admin.Call(ctx, addr, spec.method, spec.path)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSuffix(body, "\n"))
				return err
			},
		}
		cmd.Flags().StringVar(&console, "console", "", "the broker's admin address (default: $NODE_CONSOLE, or console of the configuration)")
		cmds = append(cmds, cmd)
	}
	return cmds
}

// adminAddr returns the admin address to call: that of the flag --console, else that of
// NODE_CONSOLE, else the configuration's.
func adminAddr(flagValue, configPath string) (string, error) {
	if addr := cmp.Or(flagValue, os.Getenv("NODE_CONSOLE")); addr != "" {
		return addr, nil
	}
	cfg, err := config.Load(configPath, os.Getenv)
	if err != nil {
		return "", err
	}
	if cfg.Console == "" {
		return "", errors.New("no --console, and the configuration has no console address")
	}
	return cfg.Console, nil
}
