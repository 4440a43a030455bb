package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"onyxsail/daemon"
	"onyxsail/reach"
)

// addressesCmd returns the command that shows the health of each address of the nodes that
// have several.
func addressesCmd(configPath *string) *cobra.Command {
	client := &brokerClient{configPath: configPath}
	var node string
	var asJSON bool
	cmd := client.addAddrFlag(&cobra.Command{
		Use: "addresses", Short: "Show the health of each address of the nodes that have several, with the reason", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			statuses, err := client.addressStatuses(cmd.Context())
			if err != nil {
				return err
			}
			if node != "" {
				nodeStatuses, ok := statuses[node]
				if !ok {
					return fmt.Errorf("--node: no node %q with several addresses in the list", node)
				}
				statuses = map[string][]reach.AddressStatus{node: nodeStatuses}
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), statuses)
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "NODE\tADDRESS\tWHY\tAGAINST\tNEXT AFTER")
			for _, id := range slices.Sorted(maps.Keys(statuses)) {
				for _, status := range statuses[id] {
					fmt.Fprintf(table, "%s\t%s\t%s\t%.2f\t%s\n", id, status.Text, status.Reason, status.Suspicion, status.Delay.Round(100*time.Microsecond))
				}
			}
			if err := table.Flush(); err != nil {
				return fmt.Errorf("printing: %w", err)
			}
			return nil
		},
	})
	cmd.Flags().StringVar(&node, "node", "", "show this node only")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// addressStatuses returns a broker's state of the addresses of its nodes with several, by node
// ID.
func (c *brokerClient) addressStatuses(ctx context.Context) (map[string][]reach.AddressStatus, error) {
	addr, err := c.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := doAction(ctx, addr, daemon.ActionStatus, nil)
	if err != nil {
		return nil, err
	}
	var status daemon.Status
	if err := json.Unmarshal(body, &status); err != nil {
		return nil, fmt.Errorf("decoding the broker's response: %w", err)
	}
	return status.Addresses, nil
}
