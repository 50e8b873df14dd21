package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"olivedale/internal/adminapi"
	"olivedale/internal/cli"
	"olivedale/internal/overload"
)

var errNoOverloadControl = errors.New(
	"distributed overload control is disabled; section [share] of the operator's file enables it")

// jsonPeer is the JSON form of the overload control state of an instance.
type jsonPeer struct {
	Instance string          `json:"instance"`
	State    *overload.State `json:"state,omitempty"`
	Error    string          `json:"error,omitempty"`
}

func newPeersCommand() *cobra.Command {
	var f targetFlags
	var asJSON bool
	var server string
	c := &cobra.Command{
		Use:   "peers",
		Short: "Show distributed overload control: aggregator, members and throttled servers",
		Args:  cobra.NoArgs,
		Long: "peers shows the state of distributed overload control (section [share] of the operator's file). With\n" +
			"--explain it shows one server: the load that each instance measures there, the limits that the\n" +
			"aggregator sends, and the totals from which the aggregator computes them.",
		Example: "  olivectl peers --agent 127.0.0.1:2950\n" +
			"  olivectl peers --explain s-00c41f7a --admin 127.0.0.1:2945",
		RunE: func(c *cobra.Command, _ []string) error { return showPeers(c, &f, server, asJSON) },
	}
	f.register(c)
	addJSONFlag(c, &asJSON)
	c.Flags().StringVar(&server, "explain", "", "show the load and the limits of this server")
	return c
}

// showPeers prints the state of all targets. Instances that have no state are returned as errors after the output.
func showPeers(c *cobra.Command, f *targetFlags, server string, asJSON bool) error {
	targets, err := f.targets(c.Context())
	if err != nil {
		return err
	}
	var peers []jsonPeer
	var failures []error
	for _, t := range targets {
		state, err := auditOverload(c.Context(), t.admin)
		peer := jsonPeer{Instance: t.name, State: state}
		if err != nil {
			peer.Error = err.Error()
			failures = append(failures, fmt.Errorf("%s: %w", t.name, err))
		}
		peers = append(peers, peer)
	}
	heading, rows := peerTable(peers)
	if server != "" {
		heading, rows = explainTable(peers, server)
		if len(rows) == 0 && len(failures) == 0 {
			return fmt.Errorf("no instance has sent attempts to %s recently", server)
		}
	}
	err = cli.Table(c.OutOrStdout(), asJSON, peers, heading, rows)
	return errors.Join(append([]error{err}, failures...)...)
}

// auditOverload requests the overload control state of an instance.
func auditOverload(ctx context.Context, admin string) (*overload.State, error) {
	reply, err := adminapi.Send(ctx, admin, adminapi.AuditCommand(adminapi.OverloadTermination))
	if err != nil {
		return nil, err
	}
	state := adminapi.ParseOverload(reply.Descriptors)
	if state == nil {
		return nil, errNoOverloadControl
	}
	return state, nil
}

// peerTable returns the table of the instances that have a state.
func peerTable(peers []jsonPeer) (heading []string, rows [][]string) {
	majority := majorityAggregator(peers)
	for _, peer := range peers {
		if peer.State != nil {
			rows = append(rows, peerRow(peer.Instance, peer.State, majority))
		}
	}
	return strings.Fields("INSTANCE NUMBER TELLER HEARD LIVE HOLDS HELD SAID SILENT WRONG NOTE"), rows
}

func peerRow(instance string, s *overload.State, majority int) []string {
	return []string{
		instance,
		strconv.Itoa(s.Self),
		strconv.Itoa(s.Aggregator),
		formatAge(s.LastContactAge),
		fmt.Sprintf("%d of %d", s.AliveMembers, s.Peers),
		strconv.Itoa(countThrottledServers(s)),
		strconv.Itoa(s.Counters.Throttled),
		fmt.Sprintf("%d (%d B)", s.Counters.Sent, s.Counters.SentBytes),
		strconv.Itoa(s.Counters.AggregatorsUnresponsive),
		strconv.Itoa(s.Counters.AggregatorsEjected),
		peerNote(s, majority),
	}
}

func peerNote(s *overload.State, majority int) string {
	var notes []string
	if s.Aggregator != majority {
		notes = append(notes, "most instances follow another aggregator")
	}
	if s.Partitioned {
		notes = append(notes, "may be partitioned")
	}
	return strings.Join(notes, ", ")
}

// majorityAggregator returns the aggregator that most instances follow, and the lower number in case of a tie.
func majorityAggregator(peers []jsonPeer) int {
	followers := make(map[int]int)
	for _, peer := range peers {
		if peer.State != nil {
			followers[peer.State.Aggregator]++
		}
	}
	majority := 0
	maxFollowers := 0
	for aggregator, count := range followers {
		isTieWithLower := count == maxFollowers && aggregator < majority
		if count > maxFollowers || isTieWithLower {
			majority = aggregator
			maxFollowers = count
		}
	}
	return majority
}

func countThrottledServers(s *overload.State) int {
	count := 0
	for i := range s.Servers {
		server := &s.Servers[i]
		isThrottled := server.ThrottleProbability != [len(server.ThrottleProbability)]float64{}
		if server.Limited && isThrottled {
			count++
		}
	}
	return count
}

// formatAge formats the time since an event. A negative age means that there was no event.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "-"
	}
	return age.Round(10 * time.Millisecond).String()
}

// explainTable returns the load that each instance measures at one server and, for an aggregator, the totals for that
// server.
func explainTable(peers []jsonPeer, server string) (heading []string, rows [][]string) {
	key := overload.ServerKey(server)
	for _, peer := range peers {
		if peer.State == nil {
			continue
		}
		for i := range peer.State.Servers {
			if s := &peer.State.Servers[i]; s.ID == server {
				rows = append(rows, sampleRow(peer.Instance, peer.State.Aggregator, s))
				break
			}
		}
		for i := range peer.State.Aggregates {
			if a := &peer.State.Aggregates[i]; a.Key == key {
				rows = append(rows, aggregateRow(peer.Instance, a))
			}
		}
	}
	heading = []string{
		"INSTANCE", "WHAT", "WAITING", "WAIT", "TELLER", "IT CLAIMS", "HELD BACK: CUT, TOP, CHEAP, AGAIN", "HELD",
	}
	return heading, rows
}

// sampleRow returns the load that an instance measures at a server, and the limit that it applies there.
func sampleRow(instance string, aggregator int, s *overload.ServerState) []string {
	setupTime := s.SetupTime
	if setupTime == 0 {
		setupTime = -1 // not measured
	}
	claimedWait := "-"
	if s.Limited {
		claimedWait = formatAge(s.ClaimedWait)
	}
	return []string{
		instance,
		"sees",
		strconv.Itoa(s.PendingAttempts),
		formatAge(setupTime),
		strconv.Itoa(aggregator),
		claimedWait,
		formatThrottle(s),
		strconv.Itoa(s.Throttled),
	}
}

// formatThrottle formats the throttle probabilities of a server, the highest priority first.
func formatThrottle(s *overload.ServerState) string {
	if !s.Limited {
		return "none"
	}
	var parts []string
	for priority := len(s.ThrottleProbability) - 1; priority >= 0; priority-- {
		parts = append(parts, fmt.Sprintf("%.0f%%", 100*s.ThrottleProbability[priority]))
	}
	return strings.Join(parts, " ")
}

// aggregateRow returns the totals of an aggregator for a server, and the rate that it admits.
func aggregateRow(instance string, a *overload.AggregateState) []string {
	admittedRate := "no limit"
	if !math.IsInf(a.AdmittedRate, 1) {
		admittedRate = fmt.Sprintf("%.1f/s", a.AdmittedRate)
	}
	load := fmt.Sprintf("%.1f/s offered, %.1f/s answered", a.Offered+a.Overflow, a.Answered)
	return []string{instance, "sums up", load, formatAge(a.Wait), "", "", admittedRate, ""}
}
