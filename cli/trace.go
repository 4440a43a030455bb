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

// traceSource is the source from which a trace command reads, with the flags that select
// traces: a broker over Flight, or the spool directory of one that need not be running.
type traceSource struct {
	brokerClient
	spoolDir    string // empty: read from the broker
	includeOpen bool   // with spoolDir: also read the open queries
	class       string
	reason      string // names joined by +; empty: any
	node        string
	since       time.Duration // before now; 0: no bound
	until       time.Duration // before now; 0: no bound
	minDuration time.Duration
	onlyBad     bool
	limit       int
	asJSON      bool
	warnings    io.Writer // receives the traces that could not be read, a line each; set when the command runs
}

// addFilterFlags adds the flags that select traces, --json and --addr to cmd and returns cmd.
func (s *traceSource) addFilterFlags(cmd *cobra.Command) *cobra.Command {
	s.brokerClient.addAddrFlag(cmd)
	flags := cmd.Flags()
	flags.StringVar(&s.class, "class", "", "only queries of this class")
	flags.StringVar(&s.reason, "reason", "", "only queries with one of these reasons, joined by + ("+strings.Join(record.ReasonNames(), ", ")+")")
	flags.StringVar(&s.node, "node", "", "only queries with an attempt at this node")
	flags.DurationVar(&s.minDuration, "longer", 0, "only queries that took at least this long")
	flags.BoolVar(&s.onlyBad, "bad", false, "only bad queries: those with a reason besides asked and usual")
	flags.BoolVar(&s.asJSON, "json", false, "print JSON, one object per line")
	return cmd
}

// addRangeFlags adds the filter flags and those of the commands that read past traces to cmd
// and returns cmd. limit is the default of --limit.
func (s *traceSource) addRangeFlags(cmd *cobra.Command, limit int) *cobra.Command {
	s.addFilterFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&s.spoolDir, "dir", "", "read this spool directory instead of calling a broker")
	flags.BoolVar(&s.includeOpen, "open", false, "with --dir: also the open queries, or those that were open when the broker crashed, if no broker has started there since")
	flags.DurationVar(&s.since, "since", 0, "only queries that arrived at most this long ago")
	flags.DurationVar(&s.until, "until", 0, "only queries that arrived at least this long ago")
	flags.IntVar(&s.limit, "limit", limit, "at most this many traces, the latest ones")
	return cmd
}

// filter returns the filter that the flags give, with times relative to now.
func (s *traceSource) filter(now time.Time) (record.Filter, error) {
	filter := record.Filter{Class: s.class, AttemptNode: s.node, MinDuration: int64(s.minDuration), BadOnly: s.onlyBad, Limit: s.limit}
	if err := filter.Reasons.UnmarshalText([]byte(s.reason)); err != nil {
		return filter, fmt.Errorf("--%w", err)
	}
	if s.since > 0 {
		filter.Since = now.Add(-s.since)
	}
	if s.until > 0 {
		filter.Until = now.Add(-s.until)
	}
	return filter, nil
}

// readTraces returns the traces that match the flags and, unless it is "", the ID: a prefix of
// the trace's, or the query's. If the broker has not sent all of them in time, it returns those
// that have arrived and no error.
func (s *traceSource) readTraces(cmd *cobra.Command, id string) ([]*record.Trace, error) {
	s.warnings = cmd.ErrOrStderr()
	filter, err := s.filter(time.Now())
	if err != nil {
		return nil, err
	}
	filter.ID = id
	if s.spoolDir != "" {
		return s.readSpool(filter)
	}
	var traces []*record.Trace
	ctx, cancel := context.WithTimeout(cmd.Context(), 4*requestTimeout)
	defer cancel()
	err = s.streamTraces(ctx, daemon.ActionTraceRead, filter, func(t *record.Trace) error {
		traces = append(traces, t)
		return nil
	})
	return traces, err
}

// readSpool returns the matching traces of the spool directory and, with --open, those of its
// open queries, marked as interrupted.
func (s *traceSource) readSpool(filter record.Filter) ([]*record.Trace, error) {
	if _, err := os.Stat(s.spoolDir); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	traces, unreadable, err := tracing.ReadDir(s.spoolDir, filter)
	if err != nil {
		return nil, err
	}
	for _, entry := range unreadable {
		fmt.Fprintf(s.warnings, "%s: %v\n", entry.File, entry.Err)
	}
	if !s.includeOpen {
		return traces, nil
	}
	open, undecodable, err := spool.ReadOpenQueries(s.spoolDir)
	if err != nil {
		return nil, err
	}
	if undecodable > 0 {
		fmt.Fprintf(s.warnings, "%d open queries could not be decoded\n", undecodable)
	}
	for _, t := range open {
		t.CompleteInterrupted()
		if filter.Match(t) {
			traces = append(traces, t)
		}
	}
	return traces, nil
}

// streamTraces runs a trace action and calls visit with each trace that it returns, until the
// stream ends, ctx ends or visit fails. The end of ctx during the stream is no error.
func (s *traceSource) streamTraces(ctx context.Context, action string, filter record.Filter, visit func(*record.Trace) error) error {
	addr, err := s.address()
	if err != nil {
		return err
	}
	body, err := json.Marshal(filter)
	if err != nil {
		return fmt.Errorf("encoding the trace filter: %w", err)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return fmt.Errorf("connecting to %s: %w", addr, err)
	}
	defer conn.Close()
	stream, err := flight.NewClientFromConn(conn, nil).DoAction(ctx, &flight.Action{Type: action, Body: body})
	if err != nil {
		return fmt.Errorf("calling %s: %w", addr, err)
	}
	for {
		result, err := stream.Recv()
		if errors.Is(err, io.EOF) || err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading traces from %s: %w", addr, err)
		}
		var item daemon.TraceItem
		if err := json.Unmarshal(result.GetBody(), &item); err != nil {
			return fmt.Errorf("decoding a trace from %s: %w", addr, err)
		}
		if item.Unreadable != "" {
			fmt.Fprintln(s.warnings, item.Unreadable)
		}
		if item.Trace != nil {
			if err := visit(item.Trace); err != nil {
				return err
			}
		}
	}
}

// printJSON writes v to w as JSON on one line.
func printJSON(w io.Writer, v any) error {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return fmt.Errorf("printing: %w", err)
	}
	return nil
}

// traceCmd returns the command that groups the trace commands.
func traceCmd(configPath *string) *cobra.Command {
	cmd := &cobra.Command{Use: "trace", Short: "Read the traces that a broker keeps"}
	cmd.AddCommand(traceListCmd(configPath), traceShowCmd(configPath), traceWhyCmd(configPath), traceTailCmd(configPath))
	return cmd
}

// traceListCmd returns the command that lists traces.
func traceListCmd(configPath *string) *cobra.Command {
	source := &traceSource{brokerClient: brokerClient{configPath: configPath}}
	return source.addRangeFlags(&cobra.Command{
		Use: "list", Short: "List traces, oldest first", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			traces, err := source.readTraces(cmd, "")
			if err != nil {
				return err
			}
			if !source.asJSON {
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

// traceWithPath is a trace with its critical path, as `trace show --json` prints it.
type traceWithPath struct {
	*record.Trace
	Path critical.Path `json:"critical_path"`
}

// traceShowCmd returns the command that shows one trace, or all with the same prefix.
func traceShowCmd(configPath *string) *cobra.Command {
	source := &traceSource{brokerClient: brokerClient{configPath: configPath}}
	return source.addRangeFlags(&cobra.Command{
		Use: "show ID", Short: "Show a trace as a waterfall, by a prefix of its id or by its query's id", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			traces, err := source.readTraces(cmd, args[0])
			if err != nil {
				return err
			}
			if len(traces) == 0 {
				return fmt.Errorf("no trace with the id %q found", args[0])
			}
			for i, t := range traces {
				if source.asJSON {
					err = printJSON(cmd.OutOrStdout(), traceWithPath{t, critical.PathOf(t)})
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

// traceWhyCmd returns the command that attributes the lost time of bad queries.
func traceWhyCmd(configPath *string) *cobra.Command {
	source := &traceSource{brokerClient: brokerClient{configPath: configPath}}
	var rows int
	cmd := source.addRangeFlags(&cobra.Command{
		Use: "why", Short: "Attribute the time that bad queries lost to phases, nodes, cells and attempt reasons", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			traces, err := source.readTraces(cmd, "")
			if err != nil {
				return err
			}
			losses := critical.AttributeLostTime(traces)
			if source.asJSON {
				return printJSON(cmd.OutOrStdout(), losses)
			}
			return view.WriteLostTime(cmd.OutOrStdout(), losses, rows)
		},
	}, 5000)
	cmd.Flags().IntVar(&rows, "rows", 8, "the number of rows in each table")
	return cmd
}

// traceTailCmd returns the command that follows new traces.
func traceTailCmd(configPath *string) *cobra.Command {
	source := &traceSource{brokerClient: brokerClient{configPath: configPath}}
	return source.addFilterFlags(&cobra.Command{
		Use: "tail", Short: "Print new traces as they are kept, until interrupted", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			source.limit, source.warnings = 1, cmd.ErrOrStderr()
			filter, err := source.filter(time.Now())
			if err != nil {
				return err
			}
			return source.streamTraces(cmd.Context(), daemon.ActionTraceTail, filter, func(t *record.Trace) error {
				if source.asJSON {
					return printJSON(cmd.OutOrStdout(), t)
				}
				_, err := fmt.Fprintln(cmd.OutOrStdout(), strings.Join(view.ListRow(t), "  "))
				return err
			})
		},
	})
}
