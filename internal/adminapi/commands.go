package adminapi

import "olivedale/internal/codec/h248"

// AuditCommand returns the command that reads the state of a termination.
func AuditCommand(termination string) *h248.Command {
	return &h248.Command{Name: h248.CommandAuditValue, Termination: termination}
}

// DrainCommand returns the command that takes a termination out of service after its pending work is finished.
func DrainCommand(termination string) *h248.Command {
	services := &h248.Node{Name: h248.DescriptorServices, Children: []*h248.Node{
		{Name: "Method", Value: "Graceful"},
		{Name: "Reason", Value: "905 Termination taken out of service", Quoted: true},
	}}
	return &h248.Command{
		Name:        h248.CommandServiceChange,
		Termination: termination,
		Descriptors: []*h248.Node{services},
	}
}

// modifyCommand returns the command that sets properties of a termination's state.
func modifyCommand(termination string, properties []*h248.Node) *h248.Command {
	state := &h248.Node{Name: h248.DescriptorTerminationState, Children: properties}
	media := &h248.Node{Name: h248.DescriptorMedia, Children: []*h248.Node{state}}
	return &h248.Command{
		Name:        h248.CommandModify,
		Termination: termination,
		Descriptors: []*h248.Node{media},
	}
}
