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

// operatorWait is how long a command waits for the operators' port.
const operatorWait = 5 * time.Second

// operatorCmds are the commands that call a broker's operators' port: the exit status is 0
// for a yes and 1 for all else.
func operatorCmds(path *string) []*cobra.Command {
	var all []*cobra.Command
	for _, c := range []struct{ name, short, method, path string }{
		{"ready", "Say whether a broker takes clients", http.MethodGet, admin.ReadyPath},
		{"metrics", "Print a broker's figures", http.MethodGet, admin.MetricsPath},
		{"drain", "Have a broker send its clients away", http.MethodPost, admin.DrainPath},
		{"resume", "End the drain of a broker", http.MethodPost, admin.ResumePath},
	} {
		var console string
		cmd := &cobra.Command{
			Use: c.name, Short: c.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error {
				addr, err := consoleAddr(console, *path)
				if err != nil {
					return err
				}
				ctx, cancel := context.WithTimeout(cmd.Context(), operatorWait)
				defer cancel()
				text, err := admin.Call(ctx, addr, c.method, c.path)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintln(cmd.OutOrStdout(), strings.TrimSuffix(text, "\n"))
				return err
			},
		}
		cmd.Flags().StringVar(&console, "console", "", "the broker's operators' address (default: $NODE_CONSOLE, or the configuration's)")
		all = append(all, cmd)
	}
	return all
}

// consoleAddr is the address that a command is to call.
func consoleAddr(flag, path string) (string, error) {
	if addr := cmp.Or(flag, os.Getenv("NODE_CONSOLE")); addr != "" {
		return addr, nil
	}
	cfg, err := config.Load(path, os.Getenv)
	if err != nil {
		return "", err
	}
	if cfg.Console == "" {
		return "", errors.New("console: the configuration names no operators' address")
	}
	return cfg.Console, nil
}
