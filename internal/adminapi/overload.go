package adminapi

import (
	"strconv"
	"strings"
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/overload"
)

// OverloadTermination is the termination whose AuditValue reports the state of overload control between instances.
const OverloadTermination = "share"

// Names of the nodes that carry the state of overload control.
const (
	stateNode     = "oc/share"
	serverNode    = "oc/server"
	aggregateNode = "oc/sum"
	memberNode    = "oc/reporter"
)

// maxReportedNodes limits the number of aggregates and the number of members in a reply, which must fit in one message.
const maxReportedNodes = 64

var stateProperties = propertyList[overload.State]{
	intProperty("number", func(s *overload.State) *int { return &s.Self }),
	intProperty("peers", func(s *overload.State) *int { return &s.Peers }),
	uintProperty("boot", 10, func(s *overload.State) *uint32 { return &s.Incarnation }),
	intProperty("teller", func(s *overload.State) *int { return &s.Aggregator }),
	durationProperty("since", func(s *overload.State) *time.Duration { return &s.AggregatorFor }),
	durationProperty("heard", func(s *overload.State) *time.Duration { return &s.LastContactAge }),
	intProperty("live", func(s *overload.State) *int { return &s.AliveMembers }),
	intProperty("most", func(s *overload.State) *int { return &s.PeakMembers }),
	boolProperty("part", func(s *overload.State) *bool { return &s.Partitioned }),
	boolProperty("often", func(s *overload.State) *bool { return &s.FrequentReports }),
	intProperty("shunned", func(s *overload.State) *int { return &s.Ejected }),
	intProperty("said", func(s *overload.State) *int { return &s.Counters.Sent }),
	intProperty("saidbytes", func(s *overload.State) *int { return &s.Counters.SentBytes }),
	intProperty("taken", func(s *overload.State) *int { return &s.Counters.Received }),
	intProperty("unread", func(s *overload.State) *int { return &s.Counters.Malformed }),
	intProperty("alien", func(s *overload.State) *int { return &s.Counters.Misattributed }),
	intProperty("held", func(s *overload.State) *int { return &s.Counters.Throttled }),
	intProperty("passed", func(s *overload.State) *int { return &s.Counters.Admitted }),
	intProperty("silent", func(s *overload.State) *int { return &s.Counters.AggregatorsUnresponsive }),
	intProperty("wrong", func(s *overload.State) *int { return &s.Counters.AggregatorsEjected }),
}

var serverProperties = propertyList[overload.ServerState]{
	textProperty("name", func(s *overload.ServerState) *string { return &s.ID }),
	intProperty("waiting", func(s *overload.ServerState) *int { return &s.PendingAttempts }),
	durationProperty("wait", func(s *overload.ServerState) *time.Duration { return &s.SetupTime }),
	boolProperty("obeyed", func(s *overload.ServerState) *bool { return &s.Limited }),
	durationProperty("claim", func(s *overload.ServerState) *time.Duration { return &s.ClaimedWait }),
	{name: "hold", format: formatThrottleProbabilities, parse: parseThrottleProbabilities},
	floatProperty("over", func(s *overload.ServerState) *float64 { return &s.OverflowProbability }),
	intProperty("held", func(s *overload.ServerState) *int { return &s.Throttled }),
}

var aggregateProperties = propertyList[overload.AggregateState]{
	uintProperty("key", 16, func(a *overload.AggregateState) *uint32 { return &a.Key }),
	floatProperty("offered", func(a *overload.AggregateState) *float64 { return &a.Offered }),
	floatProperty("over", func(a *overload.AggregateState) *float64 { return &a.Overflow }),
	floatProperty("done", func(a *overload.AggregateState) *float64 { return &a.Answered }),
	durationProperty("wait", func(a *overload.AggregateState) *time.Duration { return &a.Wait }),
	intProperty("told", func(a *overload.AggregateState) *int { return &a.WaitReports }),
	floatProperty("budget", func(a *overload.AggregateState) *float64 { return &a.AdmittedRate }),
}

var memberProperties = propertyList[overload.MemberState]{
	intProperty("number", func(m *overload.MemberState) *int { return &m.Number }),
	{name: "presence", format: formatMemberStatus, parse: parseMemberStatus},
	durationProperty("heard", func(m *overload.MemberState) *time.Duration { return &m.LastReportAge }),
	floatProperty("lost", func(m *overload.MemberState) *float64 { return &m.LossShare }),
	durationProperty("span", func(m *overload.MemberState) *time.Duration { return &m.ReportSpan }),
}

// formatThrottleProbabilities formats the throttling probabilities of all priorities, separated by spaces.
func formatThrottleProbabilities(s *overload.ServerState) string {
	var texts []string
	for _, probability := range s.ThrottleProbability {
		texts = append(texts, formatFloat(probability))
	}
	return strings.Join(texts, " ")
}

func parseThrottleProbabilities(s *overload.ServerState, text string) (err error) {
	for i, field := range strings.Fields(text) {
		if i == len(s.ThrottleProbability) {
			break
		}
		probability, parseErr := strconv.ParseFloat(field, 64)
		if parseErr != nil {
			err = parseErr
		}
		s.ThrottleProbability[i] = probability
	}
	return err
}

func formatMemberStatus(m *overload.MemberState) string { return m.Status.String() }

func parseMemberStatus(m *overload.MemberState, text string) error {
	for _, status := range []overload.MemberStatus{overload.Alive, overload.Suspect, overload.Dead} {
		if status.String() == text {
			m.Status = status
		}
	}
	return nil
}

// OverloadNodes returns the descriptors that report the state of overload control. They contain only the first
// maxReportedNodes aggregates and members; members are sorted by the age of their last report, the oldest first.
func OverloadNodes(s *overload.State) []*h248.Node {
	statistics := &h248.Node{Name: h248.DescriptorStatistics}
	report := func(n *h248.Node) { statistics.Children = append(statistics.Children, n) }
	report(stateProperties.node(stateNode, s))
	for i := range s.Servers {
		report(serverProperties.node(serverNode, &s.Servers[i]))
	}
	for i := range min(len(s.Aggregates), maxReportedNodes) {
		report(aggregateProperties.node(aggregateNode, &s.Aggregates[i]))
	}
	for i := range min(len(s.Members), maxReportedNodes) {
		report(memberProperties.node(memberNode, &s.Members[i]))
	}
	return []*h248.Node{statistics}
}

// ParseOverload parses the state in the descriptors that OverloadNodes returns. It returns nil if there is none.
func ParseOverload(nodes []*h248.Node) *overload.State {
	statistics := h248.Find(nodes, h248.DescriptorStatistics)
	if statistics == nil {
		return nil
	}
	var s *overload.State
	for _, n := range statistics.Children {
		if n.Name == stateNode {
			state := stateProperties.parseNode(n)
			s = &state
			continue
		}
		if s == nil {
			continue // the state node precedes the nodes of its parts
		}
		switch n.Name {
		case serverNode:
			s.Servers = append(s.Servers, serverProperties.parseNode(n))
		case aggregateNode:
			s.Aggregates = append(s.Aggregates, aggregateProperties.parseNode(n))
		case memberNode:
			s.Members = append(s.Members, memberProperties.parseNode(n))
		}
	}
	return s
}
