package simproto

import (
	"bytes"
	"encoding/json"
	"fmt"

	"olivedale/internal/admission"
)

// replyLine is the JSON form of the replies to a batch.
type replyLine struct {
	Nodes []nodeReply `json:"nodes"`
}

type nodeReply struct {
	Node      int           `json:"node"`
	Decisions []decisionRow `json:"decisions"`
}

// A decisionRow is the name of a decision followed by its values.
type decisionRow []any

// Encode returns the replies to one batch as one line, including the newline. Nodes without decisions are omitted.
func Encode(replies []Reply) ([]byte, error) {
	line := replyLine{Nodes: []nodeReply{}} // not nil, which would be encoded as null
	for _, reply := range replies {
		decisions, err := encodeActions(reply.Actions)
		if err != nil {
			return nil, fmt.Errorf("node %d: %w", reply.Number, err)
		}
		if len(decisions) > 0 {
			line.Nodes = append(line.Nodes, nodeReply{Node: reply.Number, Decisions: decisions})
		}
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(line); err != nil {
		return nil, fmt.Errorf("encoding replies: %w", err)
	}
	return buffer.Bytes(), nil
}

func encodeActions(actions []admission.Action) ([]decisionRow, error) {
	var rows []decisionRow
	for _, action := range actions {
		if _, isNotice := action.(admission.RateLimitChanged); isNotice {
			continue // meant for operators; the protocol has no row for it
		}
		row, err := encodeAction(action)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func encodeAction(action admission.Action) (decisionRow, error) {
	switch a := action.(type) {
	case admission.SendAttempt:
		return decisionRow{"RELAY", a.CallID, a.Server, toMilliseconds(a.Timeout)}, nil
	case admission.RejectCall:
		return encodeReject(a), nil
	case admission.FailCall:
		return decisionRow{"RESPOND_ERROR", a.CallID}, nil
	case admission.CancelAttempt:
		return decisionRow{"ABORT_ATTEMPT", a.CallID, a.Attempt}, nil
	case admission.SetTimer:
		return decisionRow{"DEFER", toMilliseconds(a.At), a.Key}, nil
	case admission.WatchServers:
		return decisionRow{"TRACK", true}, nil
	case admission.LogMessage:
		return decisionRow{"PRINT", a.Text}, nil
	}
	return nil, fmt.Errorf("action %T has no row in the protocol", action)
}

// encodeReject returns a BUSY row. Without a RetryAfter, its last value is null.
func encodeReject(a admission.RejectCall) decisionRow {
	if a.RetryAfter <= 0 {
		return decisionRow{"BUSY", a.CallID, nil}
	}
	return decisionRow{"BUSY", a.CallID, toMilliseconds(a.RetryAfter)}
}
