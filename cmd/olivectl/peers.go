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
				reply, err := adminapi.Send(c.Context(), i.Admin, adminapi.AuditCommand(adminapi.OverloadTermination))
				if err == nil {
					if r.State = adminapi.ParseOverload(reply.Descriptors); r.State == nil {
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
			obeyed[r.State.Aggregator]++
		}
	}
	for _, r := range all {
		s := r.State
		if s == nil {
			continue
		}
		pressed := 0
		for _, v := range s.Servers {
			if v.Limited && v.ThrottleChance != ([4]float64{}) {
				pressed++
			}
		}
		note := ""
		for teller, n := range obeyed {
			if n > obeyed[s.Aggregator] || n == obeyed[s.Aggregator] && teller < s.Aggregator {
				note = "most obey another"
			}
		}
		if s.Partitioned {
			note = strings.TrimPrefix(note+", may be a part", ", ")
		}
		rows = append(rows, []string{r.Instance, strconv.Itoa(s.Self), strconv.Itoa(s.Aggregator), age(s.LimitsAge), fmt.Sprintf("%d of %d", s.AliveMembers, s.Peers), strconv.Itoa(pressed),
			strconv.Itoa(s.Counters.Throttled), fmt.Sprintf("%d (%d B)", s.Counters.Sent, s.Counters.SentBytes), strconv.Itoa(s.Counters.AggregatorsUnresponsive), strconv.Itoa(s.Counters.AggregatorsEjected), note})
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
	key := overload.ServerKey(server)
	for _, r := range all {
		if r.State == nil {
			continue
		}
		if i := slices.IndexFunc(r.State.Servers, func(v overload.ServerState) bool { return v.ID == server }); i >= 0 {
			v := &r.State.Servers[i]
			word, claim := "none", "-"
			if v.Limited {
				var parts []string
				for k := len(v.ThrottleChance) - 1; k >= 0; k-- {
					parts = append(parts, fmt.Sprintf("%.0f%%", 100*v.ThrottleChance[k]))
				}
				word, claim = strings.Join(parts, " "), age(v.ClaimedWait)
			}
			rows = append(rows, []string{r.Instance, "sees", strconv.Itoa(v.PendingAttempts), age(cmp.Or(v.SetupTime, -1)), strconv.Itoa(r.State.Aggregator), claim, word, strconv.Itoa(v.Throttled)})
		}
		for _, t := range r.State.Aggregates {
			if t.Key != key {
				continue
			}
			budget := "no limit"
			if !math.IsInf(t.AdmittedRate, 1) {
				budget = fmt.Sprintf("%.1f/s", t.AdmittedRate)
			}
			rows = append(rows, []string{r.Instance, "sums up", fmt.Sprintf("%.1f/s offered, %.1f/s answered", t.Offered+t.Overflow, t.Answered), age(t.Wait), "", "", budget, ""})
		}
	}
	return []string{"INSTANCE", "WHAT", "WAITING", "WAIT", "TELLER", "IT CLAIMS", "HELD BACK: CUT, TOP, CHEAP, AGAIN", "HELD"}, rows
}
