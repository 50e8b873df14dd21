package console

import (
	"context"
	"math"
	"strconv"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
)

// rootTermination addresses an agent or an instance as a whole.
const rootTermination = "ROOT"

// Names of the nodes and properties that an instance reports, as they are on the wire; docs/glossary.md maps them to
// the terms used in the code.
const (
	classNode      = "oc/class"
	serverNode     = "oc/server"
	numberingNode  = "oc/table"
	propertyPrefix = "oc/"
)

// outOfService is the service state of an instance that shuts down.
const outOfService = "OutOfService"

// A ListedInstance is an instance as its agent lists it. The agent reports all properties as text.
type ListedInstance struct {
	Name   string `json:"name"`
	State  State  `json:"state"`
	PID    string `json:"pid"`
	Starts string `json:"starts"`
	Admin  string `json:"admin,omitempty"` // admin address, "" if the instance has none
}

// ListInstances returns the instances of the agent at addr. The list is empty, not nil, if the agent has none.
func ListInstances(ctx context.Context, addr string) ([]ListedInstance, error) {
	reply, err := adminapi.Send(ctx, addr, adminapi.AuditCommand(rootTermination))
	if err != nil {
		return nil, err
	}
	all := []ListedInstance{}
	statistics := findStatistics(reply)
	if statistics == nil {
		return all, nil
	}
	for _, n := range statistics.Children {
		all = append(all, parseListedInstance(n.Children))
	}
	return all, nil
}

func parseListedInstance(properties []*h248.Node) ListedInstance {
	return ListedInstance{
		Name:   h248.Value(properties, "name"),
		State:  State(h248.Value(properties, "state")),
		PID:    h248.Value(properties, "pid"),
		Starts: h248.Value(properties, "starts"),
		Admin:  h248.Value(properties, "admin"),
	}
}

// An InstanceAudit is what an instance reports about itself.
type InstanceAudit struct {
	ServiceState string     // "InService" or "OutOfService", as in the reply
	Statistics   *h248.Node // counters; nil if the reply has none
}

// AuditInstance asks the instance with the admin address addr for its state and counters.
func AuditInstance(ctx context.Context, addr string) (*InstanceAudit, error) {
	reply, err := adminapi.Send(ctx, addr, adminapi.AuditCommand(rootTermination))
	if err != nil {
		return nil, err
	}
	path := []string{h248.DescriptorMedia, h248.DescriptorTerminationState, "ServiceStates"}
	return &InstanceAudit{
		ServiceState: h248.Value(reply.Descriptors, path...),
		Statistics:   findStatistics(reply),
	}, nil
}

// findStatistics returns the Statistics descriptor, nil if there is none.
func findStatistics(reply *h248.Command) *h248.Node {
	return h248.Find(reply.Descriptors, h248.DescriptorStatistics)
}

// applyTo sets the data of an instance from the reply. Counts that are missing in the reply become 0; without any
// statistics the totals keep their values.
func (a *InstanceAudit) applyTo(i *Instance) {
	if a.ServiceState == outOfService {
		i.State = StateStopping
	}
	i.Classes = nil
	i.Servers = nil
	i.NumberingDigest = ""
	if a.Statistics == nil {
		return
	}
	nodes := a.Statistics.Children
	i.Total = parseCounts(nodes)
	i.OpenCalls = int(parseCount(nodes, "open"))
	i.EstablishedCalls = int(parseCount(nodes, "standing"))
	i.LostRecords = parseCount(nodes, "recordslost")
	for _, n := range nodes {
		switch n.Name {
		case classNode:
			class := Class{Name: parseText(n.Children, "name"), Counts: parseCounts(n.Children)}
			i.Classes = append(i.Classes, class)
			// An instance reports these two by class only.
			i.Total.Late += class.Late
			i.Total.Dropped += class.Dropped
		case serverNode:
			i.Servers = append(i.Servers, parseServer(n.Children))
		case numberingNode:
			i.NumberingDigest = parseText(n.Children, "digest")
		}
	}
}

func parseCounts(properties []*h248.Node) Counts {
	return Counts{
		Offered:     parseCount(properties, "requests"),
		Established: parseCount(properties, "stood"),
		Late:        parseCount(properties, "late"),
		Rejected:    parseCount(properties, "refused"),
		Failed:      parseCount(properties, "failed"),
		Abandoned:   parseCount(properties, "givenup"),
		Dropped:     parseCount(properties, "cut"),
		Attempts:    parseCount(properties, "attempts"),
	}
}

func parseServer(properties []*h248.Node) Server {
	s := Server{
		Name:        parseText(properties, "name"),
		Pool:        int(parseCount(properties, "pool")),
		Phase:       Phase(parseText(properties, "phase")),
		InSlowStart: parseText(properties, "cold") == "1",
		RateLimit:   math.Inf(1),
		Attempts:    parseCount(properties, "attempts"),
		Established: parseCount(properties, "stood"),
		Dropped:     parseCount(properties, "cut"),
	}
	if limit, err := strconv.ParseFloat(parseText(properties, "ceiling"), 64); err == nil {
		s.RateLimit = limit
	}
	return s
}

func parseText(properties []*h248.Node, name string) string {
	return h248.Value(properties, propertyPrefix+name)
}

// parseCount returns the value of a counter, 0 if it is absent or no number.
func parseCount(properties []*h248.Node, name string) uint64 {
	count, _ := strconv.ParseUint(parseText(properties, name), 10, 64)
	return count
}
