package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/spf13/cobra"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"onyxsail/config"
	"onyxsail/daemon"
)

const remoteWithin = 5 * time.Second

// remote is what the commands that speak to a broker share.
type remote struct {
	path *string // of the configuration
	addr string
}

func (r *remote) flags(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&r.addr, "addr", "", "the broker's Flight address (default: flight.listen of the configuration)")
	return cmd
}

func (r *remote) target() (string, error) {
	if r.addr != "" {
		return r.addr, nil
	}
	cfg, err := config.Load(*r.path, os.Getenv)
	if err != nil {
		return "", fmt.Errorf("no --addr, and no configuration to take it from: %w", err)
	}
	if cfg.Flight == nil {
		return "", errors.New("no --addr, and the configuration has no flight.listen")
	}
	return cfg.Flight.Listen, nil
}

// do runs an action and prints its result, indented.
func (r *remote) do(cmd *cobra.Command, action string, body []byte) error {
	addr, err := r.target()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), remoteWithin)
	defer cancel()
	out, err := act(ctx, addr, action, body)
	if leader := leaderOf(err); leader != "" {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s is not the leader, going to %s\n", addr, leader)
		out, err = act(ctx, leader, action, body)
	}
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, out, "", "  "); err != nil {
		return fmt.Errorf("reading the broker's answer: %w", err)
	}
	fmt.Fprintln(cmd.OutOrStdout(), text.String())
	return nil
}

func act(ctx context.Context, addr, action string, body []byte) ([]byte, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return nil, fmt.Errorf("reaching %s: %w", addr, err)
	}
	defer conn.Close()
	stream, err := flight.NewClientFromConn(conn, nil).DoAction(ctx, &flight.Action{Type: action, Body: body})
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	res, err := stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("asking %s: %w", addr, err)
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("asking %s: the answer did not end: %v", addr, err)
	}
	return res.GetBody(), nil
}

// leaderOf gives the Flight address that a follower named, "" for any other
// error.
func leaderOf(err error) string {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return ""
	}
	for _, d := range s.Details() {
		if info, ok := d.(*errdetails.ErrorInfo); ok && info.GetReason() == daemon.ReasonNotLeader {
			return info.GetMetadata()[daemon.LeaderFlightKey]
		}
	}
	return ""
}

func statusCmd(path *string) *cobra.Command {
	r := &remote{path: path}
	return r.flags(&cobra.Command{
		Use: "status", Short: "Ask a broker for its counts and its view of the store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return r.do(cmd, daemon.ActionStatus, nil) },
	})
}

func configCmd(path *string) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read or change the replicated configuration"}
	get := &remote{path: path}
	cmd.AddCommand(get.flags(&cobra.Command{
		Use: "get", Short: "Print the configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return get.do(cmd, daemon.ActionConfigGet, nil) },
	}))
	set := &remote{path: path}
	var ifVersion uint64
	setCmd := set.flags(&cobra.Command{
		Use: "set FIELD=VALUE ...", Short: "Change fields of the configuration", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := patch(args)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("if-version") {
				body["if_version"] = ifVersion
			}
			data, err := json.Marshal(body)
			if err != nil {
				return err
			}
			return set.do(cmd, daemon.ActionConfigSet, data)
		},
	})
	setCmd.Flags().Uint64Var(&ifVersion, "if-version", 0, "change only this version of the configuration")
	cmd.AddCommand(setCmd)
	return cmd
}

// patch turns FIELD=VALUE words into an object; the broker checks its fields.
func patch(args []string) (map[string]any, error) {
	body := map[string]any{}
	for _, a := range args {
		field, value, ok := strings.Cut(a, "=")
		if !ok || field == "" {
			return nil, fmt.Errorf("%q: want FIELD=VALUE", a)
		}
		if n, err := strconv.Atoi(value); err == nil {
			body[field] = n
		} else {
			body[field] = value
		}
	}
	return body, nil
}
