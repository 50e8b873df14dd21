package h248

import "strings"

// Names of commands.
const (
	CommandAdd             = "Add"
	CommandMove            = "Move"
	CommandModify          = "Modify"
	CommandSubtract        = "Subtract"
	CommandAuditValue      = "AuditValue"
	CommandAuditCapability = "AuditCapability"
	CommandNotify          = "Notify"
	CommandServiceChange   = "ServiceChange"
)

// Names of descriptors.
const (
	DescriptorMedia            = "Media"
	DescriptorTerminationState = "TerminationState"
	DescriptorLocal            = "Local"
	DescriptorRemote           = "Remote"
	DescriptorServices         = "Services"
	DescriptorStatistics       = "Statistics"
	DescriptorError            = "Error"
)

// commandNames maps the lower-case long and short tokens of commands to their names.
var commandNames = map[string]string{
	"add": CommandAdd, "a": CommandAdd,
	"move": CommandMove, "mv": CommandMove,
	"modify": CommandModify, "mf": CommandModify,
	"subtract": CommandSubtract, "s": CommandSubtract,
	"auditvalue": CommandAuditValue, "av": CommandAuditValue,
	"auditcapability": CommandAuditCapability, "ac": CommandAuditCapability,
	"notify": CommandNotify, "n": CommandNotify,
	"servicechange": CommandServiceChange, "sc": CommandServiceChange,
}

// transactionKinds maps the lower-case long and short tokens of transactions to their kinds.
var transactionKinds = map[string]TransactionKind{
	"transaction": Request, "t": Request,
	"reply": Reply, "p": Reply,
	"pending": Pending, "pn": Pending,
	"transactionresponseack": Ack, "k": Ack,
}

// longNames maps the lower-case short tokens of descriptors and parameters to their long names.
var longNames = map[string]string{
	"at": "Audit",
	"c":  "Context",
	"e":  "Events",
	"er": DescriptorError,
	"l":  DescriptorLocal,
	"m":  DescriptorMedia,
	"mt": "Method",
	"o":  "LocalControl",
	"oe": "ObservedEvents",
	"r":  DescriptorRemote,
	"re": "Reason",
	"sa": DescriptorStatistics,
	"si": "ServiceStates",
	"st": "Stream",
	"sv": DescriptorServices,
	"ts": DescriptorTerminationState,
}

// longName returns the long name for a short token. It returns other tokens unchanged.
func longName(token string) string {
	if name, ok := longNames[strings.ToLower(token)]; ok {
		return name
	}
	return token
}

// commandName returns the name of the command for a token. In requests, tokens may have the prefixes "O-" (optional)
// and "W-" (wildcarded response).
func commandName(token string) (name string, ok bool) {
	token = strings.ToLower(token)
	token = strings.TrimPrefix(token, "o-")
	token = strings.TrimPrefix(token, "w-")
	name, ok = commandNames[token]
	return name, ok
}

// isToken reports whether word is the long or the short form of a token.
func isToken(word, long, short string) bool {
	return strings.EqualFold(word, long) || strings.EqualFold(word, short)
}

func isErrorToken(word string) bool { return isToken(word, "Error", "ER") }

func isImmAckRequiredToken(word string) bool { return isToken(word, "ImmAckRequired", "IA") }

func isContextToken(word string) bool { return isToken(word, "Context", "C") }
