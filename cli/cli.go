// Package cli is the command line of gannetchute.
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

// Main runs the command line and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	root := New(out, errs)
	root.SetArgs(args)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(errs, "gannetchute:", err)
		return 1
	}
	return 0
}

// New returns the root command.
func New(out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use: "gannetchute", Short: "A broker for queries over many shards",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	var path string
	root.PersistentFlags().StringVar(&path, "config", "", "configuration file (default: the one NODE_CONFIG names)")
	root.AddCommand(serveCmd(&path), versionCmd(), checkCmd(&path), configCmd(&path), statusCmd(&path), traceCmd(&path), addressesCmd(&path))
	root.AddCommand(operatorCmds(&path)...)
	return root
}

func serveCmd(path *string) *cobra.Command {
	return &cobra.Command{
		Use: "serve", Short: "Run the broker until SIGTERM or SIGINT", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// SIGHUP is caught before all else and to the very end: its default
			// would end the program, also half way through a start or a stop.
			hup := make(chan os.Signal, 1) // one that waits stands for all until it is read
			signal.Notify(hup, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			cfg, err := config.Load(*path, os.Getenv)
			if err != nil {
				return err
			}
			log, flush := logTo(cmd.ErrOrStderr())
			defer flush()
			daemon.TuneRuntime(cfg.Limits, false)
			d, err := daemon.Start(cfg, log)
			if err != nil {
				return err
			}
			var limits atomic.Pointer[config.Limits]
			limits.Store(&cfg.Limits)
			tune := func(beside bool) { daemon.TuneRuntime(*limits.Load(), beside) }
			d.OnSiblingChange(tune)
			for {
				select {
				case <-ctx.Done(): // a second SIGTERM is still caught: it must not cut off what drains
					return d.Stop(context.Background())
				case <-hup:
				}
				next, err := config.Reload(*path, os.Getenv, cfg)
				if err != nil {
					d.CountInvalidReload()
					log.Error().Str("event", "reload").Err(err).Msg("the configuration file cannot be used; the running one stands")
					continue
				}
				cfg = next
				limits.Store(&cfg.Limits)
				d.OnSiblingChange(tune)
				d.Reload(cfg)
			}
		},
	}
}

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

func checkCmd(path *string) *cobra.Command {
	return &cobra.Command{
		Use: "check-config", Short: "Read the configuration and say what is wrong with it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.LoadStrict(*path, os.Getenv)
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: ok (%d classes, %d shards)\n", cfg.Name, len(cfg.Classes), cfg.Settings.Shards)
			return nil
		},
	}
}
