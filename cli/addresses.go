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

// addressesCmd shows how the addresses of nodes that have several stand.
func addressesCmd(path *string) *cobra.Command {
	r := &remote{path: path}
	var node string
	var asJSON bool
	cmd := r.flags(&cobra.Command{
		Use: "addresses", Short: "Show how the addresses of nodes that have several stand, and why", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := r.addresses(cmd.Context())
			if err != nil {
				return err
			}
			if node != "" {
				views, ok := all[node]
				if !ok {
					return fmt.Errorf("--node: %q is not listed with several addresses", node)
				}
				all = map[string][]reach.AddressStatus{node: views}
			}
			if asJSON {
				return printJSON(cmd.OutOrStdout(), all)
			}
			tw := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "NODE\tADDRESS\tWHY\tAGAINST\tNEXT AFTER")
			for _, id := range slices.Sorted(maps.Keys(all)) {
				for _, v := range all[id] {
					fmt.Fprintf(tw, "%s\t%s\t%s\t%.2f\t%s\n", id, v.Text, v.Reason, v.Suspicion, v.Delay.Round(100*time.Microsecond))
				}
			}
			if err := tw.Flush(); err != nil {
				return fmt.Errorf("printing: %w", err)
			}
			return nil
		},
	})
	cmd.Flags().StringVar(&node, "node", "", "only this node")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// addresses asks a broker for them.
func (r *remote) addresses(ctx context.Context) (map[string][]reach.AddressStatus, error) {
	addr, err := r.target()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, remoteWithin)
	defer cancel()
	out, err := act(ctx, addr, daemon.ActionStatus, nil)
	if err != nil {
		return nil, err
	}
	var s daemon.Status
	if err := json.Unmarshal(out, &s); err != nil {
		return nil, fmt.Errorf("reading the broker's answer: %w", err)
	}
	return s.Addresses, nil
}
