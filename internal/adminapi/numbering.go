package adminapi

import (
	"time"

	"olivedale/internal/codec/h248"
	"olivedale/internal/numbering"
	"olivedale/internal/portability"
)

// NumberingTermination is the termination that represents an instance's numbering tables: AuditValue lists the versions
// and the latest job, and Modify carries a numbering command.
const NumberingTermination = "numbers"

// Names of the nodes that carry the state of the numbering tables.
const (
	versionNode = "oc/version"
	jobNode     = "oc/job"
	tableNode   = "oc/table"
	lookupsNode = "oc/lookups"
)

// States of a job.
const (
	jobRunning = "running"
	jobDone    = "done"
)

var commandProperties = propertyList[numbering.Command]{
	textProperty("do", func(o *numbering.Command) *string { return &o.Op }),
	textProperty("file", func(o *numbering.Command) *string { return &o.File }),
	textProperty("digest", func(o *numbering.Command) *string { return &o.Digest }),
	textProperty("saw", func(o *numbering.Command) *string { return &o.ExpectedActive }),
	omitZero(nanosecondsProperty("at", func(o *numbering.Command) *time.Duration { return &o.ActivateAt })),
}

var versionProperties = propertyList[numbering.VersionStatus]{
	textProperty("digest", func(s *numbering.VersionStatus) *string { return &s.Digest }),
	textProperty("name", func(s *numbering.VersionStatus) *string { return &s.Name }),
	textProperty("state", func(s *numbering.VersionStatus) *string { return &s.State }),
	intProperty("entries", func(s *numbering.VersionStatus) *int { return &s.Prefixes }),
	intProperty("pins", func(s *numbering.VersionStatus) *int { return &s.Calls }),
	nanosecondsProperty("since", func(s *numbering.VersionStatus) *time.Duration { return &s.ActivatedAt }),
	nanosecondsProperty("due", func(s *numbering.VersionStatus) *time.Duration { return &s.ScheduledAt }),
}

var jobProperties = propertyList[numbering.Job]{
	uintProperty("id", 10, func(j *numbering.Job) *uint64 { return &j.ID }),
	textProperty("op", func(j *numbering.Job) *string { return &j.Command.Op }),
	{name: "state", format: formatJobState, parse: parseJobState},
	textProperty("err", func(j *numbering.Job) *string { return &j.Error }),
	textProperty("digest", func(j *numbering.Job) *string { return &j.Digest }),
}

func formatJobState(j *numbering.Job) string {
	if j.IsRunning {
		return jobRunning
	}
	return jobDone
}

func parseJobState(j *numbering.Job, text string) error {
	j.IsRunning = text == jobRunning
	return nil
}

// lookupProperties are the look-up counters that an audit of ROOT reports.
var lookupProperties = propertyList[portability.Counters]{
	intProperty("asked", func(c *portability.Counters) *int { return &c.Calls }),
	intProperty("hits", func(c *portability.Counters) *int { return &c.CacheHits }),
	intProperty("undecided", func(c *portability.Counters) *int { return &c.Unanswered }),
	intProperty("sent", func(c *portability.Counters) *int { return &c.QueriesSent }),
	intProperty("answered", func(c *portability.Counters) *int { return &c.QueriesAnswered }),
	intProperty("timedout", func(c *portability.Counters) *int { return &c.QueriesTimedOut }),
	intProperty("strays", func(c *portability.Counters) *int { return &c.UnmatchedAnswers }),
	intProperty("lies", func(c *portability.Counters) *int { return &c.MismatchedAnswers }),
	intProperty("broken", func(c *portability.Counters) *int { return &c.BreakerOpenings }),
}

// NumberingCommand returns the H.248 command that carries a numbering command to an instance.
func NumberingCommand(o numbering.Command) *h248.Command {
	return modifyCommand(NumberingTermination, commandProperties.nodes(&o, true))
}

// ParseNumberingCommand parses the numbering command that an H.248 command carries.
func ParseNumberingCommand(c *h248.Command) (numbering.Command, error) {
	var o numbering.Command
	err := commandProperties.parse(&o, func(name string) string {
		return h248.Value(c.Descriptors, h248.DescriptorMedia, h248.DescriptorTerminationState, name)
	})
	return o, err
}

// NumberingNodes returns the descriptors that report the versions of the numbering tables and the latest job.
func NumberingNodes(versions []numbering.VersionStatus, job numbering.Job) []*h248.Node {
	statistics := &h248.Node{Name: h248.DescriptorStatistics}
	for i := range versions {
		statistics.Children = append(statistics.Children, versionProperties.node(versionNode, &versions[i]))
	}
	if job.ID > 0 {
		statistics.Children = append(statistics.Children, jobProperties.node(jobNode, &job))
	}
	return []*h248.Node{statistics}
}

// ParseNumbering parses the versions and the latest job in the descriptors that NumberingNodes returns.
func ParseNumbering(nodes []*h248.Node) (versions []numbering.VersionStatus, job numbering.Job) {
	statistics := h248.Find(nodes, h248.DescriptorStatistics)
	if statistics == nil {
		return nil, job
	}
	for _, n := range statistics.Children {
		switch n.Name {
		case versionNode:
			versions = append(versions, versionProperties.parseNode(n))
		case jobNode:
			job = jobProperties.parseNode(n)
		}
	}
	return versions, job
}

// TableNode returns the node that reports the active numbering table.
func TableNode(digest, version string) *h248.Node {
	return &h248.Node{Name: tableNode, Children: []*h248.Node{
		{Name: "oc/digest", Value: digest, Quoted: true},
		{Name: "oc/name", Value: version, Quoted: true},
	}}
}

// LookupsNode returns the node that reports the counters of look-ups of ported numbers.
func LookupsNode(c *portability.Counters) *h248.Node {
	return &h248.Node{Name: lookupsNode, Children: lookupProperties.nodes(c, false)}
}
