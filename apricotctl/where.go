package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"apricotrudder.dev/apricotd/observer"
)

type whereCommand struct {
	nodeOptions
	Host         string `long:"host" required:"true" description:"host of the request"`
	Target       string `long:"target" required:"true" description:"path and query of the request"`
	Organisation string `long:"organisation" description:"name of the organisation whose request it is"`
	Call         bool   `long:"call" description:"the request is a call of the node's own backend server"`
}

// Execute prints what each node would do with the request now.
func (c *whereCommand) Execute([]string) error {
	addresses, err := c.addresses()
	if err != nil {
		return err
	}
	var all []observer.Where
	for _, a := range addresses {
		w, err := newObserver().Where(context.Background(), a, observer.WhereQuery{
			Host: c.Host, Target: c.Target, Organisation: c.Organisation, Call: c.Call,
		})
		if err != nil {
			return fmt.Errorf("where: %w", err)
		}
		all = append(all, w)
	}
	if c.JSON {
		return printJSON(all)
	}
	for i := range all {
		if err := writeWhere(os.Stdout, &all[i]); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}

// writeWhere writes what a node would do with a request: first what concerns all servers,
// then the servers of each pool, those that get most first.
func writeWhere(out io.Writer, w *observer.Where) error {
	fmt.Fprintf(out, "node %s: route %s, rank %d%s, by tables %d and state that is %d ms old\n", w.VM, w.Route, w.Rank, rankBasis(w.TreeRank), w.Version, w.AgeMs)
	if w.Refusal != "" {
		fmt.Fprintf(out, "would refuse each such request: %s\n", w.Refusal)
	}
	if w.ThrottledRatio > 0 {
		fmt.Fprintf(out, "would refuse %.0f %% as throttled: pool %s has an excess of %.2f (reported by %s, %d ms ago)\n",
			100*w.ThrottledRatio, w.Bottleneck, w.Excess, w.Reporter, w.ReportAgeMs)
	}
	if len(w.OtherPools) > 0 {
		fmt.Fprintf(out, "also counts towards the demand on %s\n", strings.Join(w.OtherPools, ", "))
	}
	if w.LostRatio > 0 {
		fmt.Fprintf(out, "loses %.0f %% to calls that servers with room reject; would refuse %.0f %% of first attempts as postponed\n", 100*w.LostRatio, 100*w.PostponedRatio)
	}
	if w.Homes != nil {
		fmt.Fprintf(out, "may run only in %v\n", w.Homes)
	}
	if w.ExpectedMs > 0 {
		fmt.Fprintf(out, "expected service time: %.0f ms, known by %s\n", w.ExpectedMs, w.ExpectedBy)
	}
	for _, pool := range w.Pools {
		if err := writeWherePool(out, &pool); err != nil {
			return err
		}
	}
	return nil
}

func writeWherePool(out io.Writer, pool *observer.WherePool) error {
	basis := "utilisation"
	if pool.ByCompletion {
		basis = "expected completion"
	}
	fmt.Fprintf(out, "pool %s, %.0f %% of the requests; servers are compared by %s\n", pool.Pool, 100*pool.Share, basis)
	servers := slices.SortedStableFunc(slices.Values(pool.Servers), func(a, b observer.WhereServer) int { return cmp.Compare(b.Share, a.Share) })
	t := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "  SHARE\tSERVER\tDATA CENTRE\tUTILISATION\tWAIT\tSERVICE\tTRAVEL\tPENALTY\tKNOWN FOR\tNOT SELECTED BECAUSE")
	for _, s := range servers {
		age := "unknown"
		if s.AgeMs >= 0 {
			age = fmt.Sprintf("%d ms", s.AgeMs)
		}
		fmt.Fprintf(t, "  %.1f %%\t%s\t%s\t%.2f\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\t%s\t%s\n",
			100*s.Share, s.Server, s.DataCentre, s.Utilisation, s.WaitMs, s.ServiceMs, s.TravelMs, s.PenaltyMs, age, s.Reason)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}
