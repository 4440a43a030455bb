package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/spf13/cobra"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"onyxsail/daemon"
	"onyxsail/tracing"
	"onyxsail/tracing/critical"
	"onyxsail/tracing/record"
	"onyxsail/tracing/spool"
	"onyxsail/tracing/view"
)

// source is where the trace commands read: a broker over Flight, or the spool
// of one that may be dead.
type source struct {
	remote
	dir     string
	open    bool
	class   string
	reason  string
	node    string
	since   time.Duration
	until   time.Duration
	longer  time.Duration
	bad     bool
	limit   int
	asJSON  bool
	warning io.Writer
}

func (s *source) flags(cmd *cobra.Command) *cobra.Command {
	s.remote.flags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.class, "class", "", "only queries of this class")
	f.StringVar(&s.reason, "reason", "", "only queries with one of these reasons, joined by + ("+strings.Join(record.ReasonNames(), ", ")+")")
	f.StringVar(&s.node, "node", "", "only queries with an attempt at this node")
	f.DurationVar(&s.longer, "longer", 0, "only queries that took at least this long")
	f.BoolVar(&s.bad, "bad", false, "only bad queries")
	f.BoolVar(&s.asJSON, "json", false, "print JSON, one object a line")
	return cmd
}

// windowed adds the flags of the commands that look back.
func (s *source) windowed(cmd *cobra.Command, limit int) *cobra.Command {
	s.flags(cmd)
	f := cmd.Flags()
	f.StringVar(&s.dir, "dir", "", "read this spool's folder, and no broker")
	f.BoolVar(&s.open, "open", false, "with --dir: also the queries that are open, or were when the broker died and no other has started since")
	f.DurationVar(&s.since, "since", 0, "only queries that came within this time before now")
	f.DurationVar(&s.until, "until", 0, "only queries that came longer than this before now")
	f.IntVar(&s.limit, "limit", limit, "the latest so many")
	return cmd
}

func (s *source) filter(now time.Time) (record.Filter, error) {
	f := record.Filter{Class: s.class, AttemptNode: s.node, MinDuration: int64(s.longer), BadOnly: s.bad, Limit: s.limit}
	if err := f.Reasons.UnmarshalText([]byte(s.reason)); err != nil {
		return f, fmt.Errorf("--%w", err)
	}
	if s.since > 0 {
		f.Since = now.Add(-s.since)
	}
	if s.until > 0 {
		f.Until = now.Add(-s.until)
	}
	return f, nil
}

// read gathers what the flags pick, and the id if one is given.
func (s *source) read(cmd *cobra.Command, id string) ([]*record.Trace, error) {
	s.warning = cmd.ErrOrStderr()
	f, err := s.filter(time.Now())
	if err != nil {
		return nil, err
	}
	f.ID = id
	if s.dir != "" {
		return s.readDir(f)
	}
	var traces []*record.Trace
	ctx, cancel := context.WithTimeout(cmd.Context(), 4*remoteWithin)
	defer cancel()
	err = s.stream(ctx, daemon.ActionTraceRead, f, func(t *record.Trace) error {
		traces = append(traces, t)
		return nil
	})
	return traces, err
}

func (s *source) readDir(f record.Filter) ([]*record.Trace, error) {
	if _, err := os.Stat(s.dir); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	traces, bad, err := tracing.ReadDir(s.dir, f)
	if err != nil {
		return nil, err
	}
	for _, b := range bad {
		fmt.Fprintf(s.warning, "%s: %v\n", b.File, b.Err)
	}
	if !s.open {
		return traces, nil
	}
	open, unreadable, err := spool.ReadOpenQueries(s.dir)
	if err != nil {
		return nil, err
	}
	if unreadable > 0 {
		fmt.Fprintf(s.warning, "%d open queries cannot be made out\n", unreadable)
	}
	for _, t := range open {
		t.CompleteInterrupted()
		if f.Match(t) {
			traces = append(traces, t)
		}
	}
	return traces, nil
}

// stream calls a trace action and f with each trace.
func (s *source) stream(ctx context.Context, action string, filter record.Filter, f func(*record.Trace) error) error {
	addr, err := s.target()
	if err != nil {
		return err
	}
	body, err := json.Marshal(filter)
	if err != nil {
		return fmt.Errorf("encoding the filter: %w", err)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return fmt.Errorf("reaching %s: %w", addr, err)
	}
	defer conn.Close()
	stream, err := flight.NewClientFromConn(conn, nil).DoAction(ctx, &flight.Action{Type: action, Body: body})
	if err != nil {
		return fmt.Errorf("asking %s: %w", addr, err)
	}
	for {
		res, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("asking %s: %w", addr, err)
		}
		var item daemon.TraceItem
		if err := json.Unmarshal(res.GetBody(), &item); err != nil {
			return fmt.Errorf("reading the answer of %s: %w", addr, err)
		}
		if item.Unreadable != "" {
			fmt.Fprintln(s.warning, item.Unreadable)
		}
		if item.Trace != nil {
			if err := f(item.Trace); err != nil {
				return err
			}
		}
	}
}

func printJSON(w io.Writer, v any) error {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

func traceCmd(path *string) *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Look at the traces that a broker keeps"}
	cmd.AddCommand(traceListCmd(path), traceShowCmd(path), traceWhyCmd(path), traceTailCmd(path))
	return cmd
}

func traceListCmd(path *string) *cobra.Command {
	s := &source{remote: remote{path: path}}
	return s.windowed(&cobra.Command{
		Use: "list", Short: "List traces, the latest last", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			traces, err := s.read(cmd, "")
			if err != nil {
				return err
			}
			if !s.asJSON {
				return view.WriteList(cmd.OutOrStdout(), traces)
			}
			for _, t := range traces {
				if err := printJSON(cmd.OutOrStdout(), t); err != nil {
					return err
				}
			}
			return nil
		},
	}, 50)
}

// shown is a trace with its critical path, as `show --json` prints it.
type shown struct {
	*record.Trace
	Path critical.Path `json:"critical_path"`
}

func traceShowCmd(path *string) *cobra.Command {
	s := &source{remote: remote{path: path}}
	return s.windowed(&cobra.Command{
		Use: "show ID", Short: "Show a trace as a waterfall, by the beginning of its id or by its query's id", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			traces, err := s.read(cmd, args[0])
			if err != nil {
				return err
			}
			if len(traces) == 0 {
				return fmt.Errorf("no trace %q is kept", args[0])
			}
			for i, t := range traces {
				if s.asJSON {
					err = printJSON(cmd.OutOrStdout(), shown{t, critical.PathOf(t)})
				} else {
					if i > 0 {
						fmt.Fprintln(cmd.OutOrStdout())
					}
					err = view.WriteTrace(cmd.OutOrStdout(), t)
				}
				if err != nil {
					return err
				}
			}
			return nil
		},
	}, 10)
}

func traceWhyCmd(path *string) *cobra.Command {
	s := &source{remote: remote{path: path}}
	var rows int
	cmd := s.windowed(&cobra.Command{
		Use: "why", Short: "Tell which phase, node, cell and reason of attempts carry the lost time", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			traces, err := s.read(cmd, "")
			if err != nil {
				return err
			}
			t := critical.AttributeLostTime(traces)
			if s.asJSON {
				return printJSON(cmd.OutOrStdout(), t)
			}
			return view.WriteLostTime(cmd.OutOrStdout(), t, rows)
		},
	}, 5000)
	cmd.Flags().IntVar(&rows, "rows", 8, "rows of each table")
	return cmd
}

func traceTailCmd(path *string) *cobra.Command {
	s := &source{remote: remote{path: path}}
	return s.flags(&cobra.Command{
		Use: "tail", Short: "Print traces as they are kept, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.limit, s.warning = 1, cmd.ErrOrStderr()
			f, err := s.filter(time.Now())
			if err != nil {
				return err
			}
			return s.stream(cmd.Context(), daemon.ActionTraceTail, f, func(t *record.Trace) error {
				if s.asJSON {
					return printJSON(cmd.OutOrStdout(), t)
				}
				_, err := fmt.Fprintln(cmd.OutOrStdout(), strings.Join(view.ListRow(t), "  "))
				return err
			})
		},
	})
}
