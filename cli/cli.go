// Package cli implements the command line of gannetchute.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/spf13/cobra"

	"onyxsail/config"
	"onyxsail/daemon"
)

// Main runs the command that args name, writes to stdout and stderr and returns the exit
// status.
func Main(args []string, stdout, stderr io.Writer) int {
	root := NewRootCommand(stdout, stderr)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(stderr, "gannetchute:", err)
		return 1
	}
	return 0
}

// NewRootCommand returns the root command with all its subcommands.
func NewRootCommand(stdout, stderr io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "gannetchute", Short: "A broker for queries over many shards",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	var configPath string
	root.PersistentFlags().StringVar(&configPath, "config", "", "configuration file (default: the one NODE_CONFIG names)")
	root.AddCommand(serveCmd(&configPath), versionCmd(), checkConfigCmd(&configPath), configCmd(&configPath), statusCmd(&configPath), traceCmd(&configPath), addressesCmd(&configPath))
	root.AddCommand(adminCmds(&configPath)...)
	return root
}

// serveCmd returns the command that runs the broker.
func serveCmd(configPath *string) *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run the broker until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// SIGHUP is handled from before the start until after the stop, since its
			// default action would terminate the program in the middle of either.
			hangups := make(chan os.Signal, 1) // one pending signal covers all that follow it
			signal.Notify(hangups, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			cfg, err := config.Load(*configPath, os.Getenv)
			if err != nil {
				return err
			}
			log, flush := newLogger(cmd.ErrOrStderr())
			defer flush()
			daemon.TuneRuntime(cfg.Limits)
			heapLimiter := daemon.StartHeapLimiter(cfg.Limits)
			defer heapLimiter.Stop()
			d, err := daemon.Start(cfg, log)
			if err != nil {
				return err
			}
			var limits atomic.Pointer[config.Limits]
			limits.Store(&cfg.Limits)
			tune := func(siblingRunning bool) {
				daemon.TuneRuntime(*limits.Load())
				heapLimiter.SetLimits(*limits.Load(), siblingRunning)
			}
			d.OnSiblingChange(tune)
			for {
				select {
				case <-ctx.Done(): // a second SIGTERM stays handled, so that it does not interrupt the drain
					return d.Stop(context.Background())
				case <-hangups:
				}
				reloaded, err := config.Reload(*configPath, os.Getenv, cfg)
				if err != nil {
					d.CountInvalidReload()
					log.Error().Str("event", "reload").Err(err).Msg("reload failed: the configuration file is invalid; the running configuration stays in use")
					continue
				}
				cfg = reloaded
				limits.Store(&cfg.Limits)
				d.OnSiblingChange(tune)
				d.Reload(cfg)
			}
		},
	}
}

// versionCmd returns the command that prints the version and the revision of the build.
func versionCmd() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			version, revision := "(devel)", ""
			if info, ok := debug.ReadBuildInfo(); ok {
				if info.Main.Version != "" {
					version = info.Main.Version
				}
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = " " + s.Value
					}
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "gannetchute %s%s\n", version, revision)
		},
	}
}

// checkConfigCmd returns the command that validates a configuration file. Warnings are errors.
func checkConfigCmd(configPath *string) *cobra.Command {
	return &cobra.Command{
		Use: "check-config", Short: "Validate the configuration file and report its errors", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.LoadStrict(*configPath, os.Getenv)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok (%d classes, %d shards)\n", cfg.Name, len(cfg.Classes), cfg.Settings.Shards)
			return nil
		},
	}
}
