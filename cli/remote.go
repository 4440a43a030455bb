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

// requestTimeout is how long a command waits for its result, including a retry at the leader.
// Commands that read traces wait four times as long.
const requestTimeout = 5 * time.Second

// brokerClient holds the flags and settings by which a command reaches a broker's Flight
// service.
type brokerClient struct {
	configPath *string
	addr       string // the flag --addr; "": not given
}

// addAddrFlag adds the flag --addr to cmd and returns cmd.
func (c *brokerClient) addAddrFlag(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().StringVar(&c.addr, "addr", "", "the broker's Flight address (default: flight.listen of the configuration)")
	return cmd
}

// address returns the Flight address to call: that of --addr, else the configuration's.
func (c *brokerClient) address() (string, error) {
	if c.addr != "" {
		return c.addr, nil
	}
	cfg, err := config.Load(*c.configPath, os.Getenv)
	if err != nil {
		return "", fmt.Errorf("no --addr, and the configuration cannot be loaded: %w", err)
	}
	if cfg.Flight == nil {
		return "", errors.New("no --addr, and the configuration has no flight.listen")
	}
	return cfg.Flight.Listen, nil
}

// runAction runs a Flight action and prints its JSON result, indented. If a follower
// answers with the leader's address, the action is run there instead.
func (c *brokerClient) runAction(cmd *cobra.Command, action string, body []byte) error {
	addr, err := c.address()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), requestTimeout)
	defer cancel()
	result, err := doAction(ctx, addr, action, body)
	if leader := leaderFlightAddr(err); leader != "" {
		fmt.Fprintf(cmd.ErrOrStderr(), "%s is not the leader; retrying at the leader, %s\n", addr, leader)
		result, err = doAction(ctx, leader, action, body)
	}
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, result, "", "  "); err != nil {
		return fmt.Errorf("decoding the broker's response: %w", err)
	}
	fmt.Fprintln(cmd.OutOrStdout(), indented.String())
	return nil
}

// doAction runs one Flight action at addr and returns its single result. More than one result
// is an error.
func doAction(ctx context.Context, addr, action string, body []byte) ([]byte, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	if err != nil {
		return nil, fmt.Errorf("connecting to %s: %w", addr, err)
	}
	defer conn.Close()
	stream, err := flight.NewClientFromConn(conn, nil).DoAction(ctx, &flight.Action{Type: action, Body: body})
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	result, err := stream.Recv()
	if err != nil {
		return nil, fmt.Errorf("calling %s: %w", addr, err)
	}
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("calling %s: want the end of the stream after one result: %v", addr, err)
	}
	return result.GetBody(), nil
}

// leaderFlightAddr returns the leader's Flight address from a follower's error, or "" for
// any other error.
func leaderFlightAddr(err error) string {
	rpcStatus, ok := status.FromError(err)
	if err == nil || !ok {
		return ""
	}
	for _, detail := range rpcStatus.Details() {
		if info, ok := detail.(*errdetails.ErrorInfo); ok && info.GetReason() == daemon.ReasonNotLeader {
			return info.GetMetadata()[daemon.LeaderFlightKey]
		}
	}
	return ""
}

// statusCmd returns the command that prints a broker's status.
func statusCmd(configPath *string) *cobra.Command {
	client := &brokerClient{configPath: configPath}
	return client.addAddrFlag(&cobra.Command{
		Use: "status", Short: "Print a broker's counters and its view of the store", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return client.runAction(cmd, daemon.ActionStatus, nil) },
	})
}

// configCmd returns the command that reads and changes the replicated configuration.
func configCmd(configPath *string) *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Read or change the replicated configuration"}
	getClient := &brokerClient{configPath: configPath}
	cmd.AddCommand(getClient.addAddrFlag(&cobra.Command{
		Use: "get", Short: "Print the configuration", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return getClient.runAction(cmd, daemon.ActionConfigGet, nil)
		},
	}))
	setClient := &brokerClient{configPath: configPath}
	var ifVersion uint64
	setCmd := setClient.addAddrFlag(&cobra.Command{
		Use: "set FIELD=VALUE ...", Short: "Change fields of the configuration", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := parseFields(args)
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
			return setClient.runAction(cmd, daemon.ActionConfigSet, data)
		},
	})
	setCmd.Flags().Uint64Var(&ifVersion, "if-version", 0, "change the configuration only if it has this version")
	cmd.AddCommand(setCmd)
	return cmd
}

// parseFields turns FIELD=VALUE arguments into an object, whose fields the broker validates. A
// whole number becomes a number, any other value a string.
func parseFields(args []string) (map[string]any, error) {
	body := map[string]any{}
	for _, arg := range args {
		field, value, ok := strings.Cut(arg, "=")
		if !ok || field == "" {
			return nil, fmt.Errorf("%q: want FIELD=VALUE", arg)
		}
		if n, err := strconv.Atoi(value); err == nil {
			body[field] = n
		} else {
			body[field] = value
		}
	}
	return body, nil
}
