package main

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/overload"
)

// A peerRow is what an instance says of what it shares.
type peerRow struct {
	Instance string          `json:"instance"`
	State    *overload.State `json:"state,omitempty"`
	Err      string          `json:"error,omitempty"`
}

func peersCommand() *cobra.Command {
	var a admins
	var asJSON bool
	var explain string
	c := &cobra.Command{
		Use: "peers", Short: "Tell whom instances obey, who is there, and what is held back together", Args: cobra.NoArgs,
		Long: "peers asks instances what they share with the others (section [share] of the operator's file). With --explain it tells of one\n" +
			"server: what each instance sees of it, what its teller's word is, and of a teller the sums that the word comes from.",
		Example: "  olivectl peers --agent 127.0.0.1:2950\n  olivectl peers --explain s-00c41f7a --admin 127.0.0.1:2945",
		RunE: func(c *cobra.Command, _ []string) error {
			instances, err := a.find(c.Context())
			if err != nil {
				return err
			}
			var all []peerRow
			var lost []error
			for _, i := range instances {
				r := peerRow{Instance: i.Name}
				reply, err := adminapi.Ask(c.Context(), i.Admin, adminapi.Audit(adminapi.ShareTermination))
				if err == nil {
					if r.State = adminapi.ReadShare(reply.Descriptors); r.State == nil {
						err = errors.New("it shares nothing; section [share] of its operator's file switches that on")
					}
				}
				if err != nil {
					r.Err = err.Error()
					lost = append(lost, fmt.Errorf("%s: %w", i.Name, err))
				}
				all = append(all, r)
			}
			heading, rows := peerTable(all)
			if explain != "" {
				heading, rows = explainTable(all, explain)
				if len(rows) == 0 && len(lost) == 0 {
					return fmt.Errorf("no instance has sent anything to %s of late", explain)
				}
			}
			return errors.Join(append([]error{cli.Table(c.OutOrStdout(), asJSON, all, heading, rows)}, lost...)...)
		},
	}
	a.flags(c)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.Flags().StringVar(&explain, "explain", "", "a server: what is seen and held back there")
	return c
}

// peerTable is a row an instance. Whom most obey is what the others are held against.
func peerTable(all []peerRow) (heading []string, rows [][]string) {
	obeyed := make(map[int]int)
	for _, r := range all {
		if r.State != nil {
			obeyed[r.State.Teller]++
		}
	}
	for _, r := range all {
		s := r.State
		if s == nil {
			continue
		}
		pressed := 0
		for _, v := range s.Servers {
			if v.Obeyed && v.Hold != ([4]float64{}) {
				pressed++
			}
		}
		note := ""
		for teller, n := range obeyed {
			if n > obeyed[s.Teller] || n == obeyed[s.Teller] && teller < s.Teller {
				note = "most obey another"
			}
		}
		if s.Part {
			note = strings.TrimPrefix(note+", may be a part", ", ")
		}
		rows = append(rows, []string{r.Instance, strconv.Itoa(s.Self), strconv.Itoa(s.Teller), age(s.Heard), fmt.Sprintf("%d of %d", s.Live, s.Peers), strconv.Itoa(pressed),
			strconv.Itoa(s.Counters.Held), fmt.Sprintf("%d (%d B)", s.Counters.Said, s.Counters.SaidBytes), strconv.Itoa(s.Counters.Silent), strconv.Itoa(s.Counters.Wrong), note})
	}
	return strings.Fields("INSTANCE NUMBER TELLER HEARD LIVE HOLDS HELD SAID SILENT WRONG NOTE"), rows
}

// age is how long ago, "-" for never.
func age(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return d.Round(10 * time.Millisecond).String()
}

// explainTable tells of one server, by instance; of those that tell, the sums after what they see.
func explainTable(all []peerRow, server string) (heading []string, rows [][]string) {
	key := overload.Key(server)
	for _, r := range all {
		if r.State == nil {
			continue
		}
		if i := slices.IndexFunc(r.State.Servers, func(v overload.ServerState) bool { return v.ID == server }); i >= 0 {
			v := &r.State.Servers[i]
			word, claim := "none", "-"
			if v.Obeyed {
				var parts []string
				for k := len(v.Hold) - 1; k >= 0; k-- {
					parts = append(parts, fmt.Sprintf("%.0f%%", 100*v.Hold[k]))
				}
				word, claim = strings.Join(parts, " "), age(v.Claim)
			}
			rows = append(rows, []string{r.Instance, "sees", strconv.Itoa(v.Waiting), age(cmp.Or(v.Wait, -1)), strconv.Itoa(r.State.Teller), claim, word, strconv.Itoa(v.Held)})
		}
		for _, t := range r.State.Told {
			if t.Key != key {
				continue
			}
			budget := "no limit"
			if !math.IsInf(t.Budget, 1) {
				budget = fmt.Sprintf("%.1f/s", t.Budget)
			}
			rows = append(rows, []string{r.Instance, "sums up", fmt.Sprintf("%.1f/s offered, %.1f/s answered", t.Offered+t.Over, t.Done), age(t.Wait), "", "", budget, ""})
		}
	}
	return []string{"INSTANCE", "WHAT", "WAITING", "WAIT", "TELLER", "IT CLAIMS", "HELD BACK: CUT, TOP, CHEAP, AGAIN", "HELD"}, rows
}
