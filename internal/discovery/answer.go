package discovery

import (
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/dns/dnsmessage"

	"olivedale/internal/config"
)

// MaxAnswerBytes is the maximum size of an answer.
const MaxAnswerBytes = 8000

// Errors for answers that do not match a query or have no serial number.
var (
	ErrUnsolicited   = errors.New("unsolicited answer: no recent query has its id")
	ErrWrongQuestion = errors.New("question does not match the query")
	ErrNoSerial      = errors.New("no SOA record")
)

// An answer is the parsed content of a valid DNS answer.
type answer struct {
	queryID   uint16
	serial    uint32
	endpoints map[string]config.Endpoint // by Endpoint.ID
}

// parseAnswer parses a DNS message, which must be the answer to one of the recent queries.
func parseAnswer(message []byte, queries *queryLog) (answer, error) {
	if len(message) > MaxAnswerBytes {
		return answer{}, fmt.Errorf("message has %d bytes, the maximum is %d", len(message), MaxAnswerBytes)
	}
	var p dnsmessage.Parser
	header, err := p.Start(message)
	if err != nil {
		return answer{}, err
	}
	if err := checkHeader(header, queries); err != nil {
		return answer{}, err
	}
	if err := checkQuestion(&p); err != nil {
		return answer{}, err
	}
	r, err := readRecords(&p)
	if err != nil {
		return answer{}, err
	}
	if !r.hasSerial {
		return answer{}, ErrNoSerial
	}
	endpoints, err := r.endpoints()
	if err != nil {
		return answer{}, err
	}
	return answer{queryID: header.ID, serial: r.serial, endpoints: endpoints}, nil
}

func checkHeader(h dnsmessage.Header, queries *queryLog) error {
	if !h.Response || !queries.contains(h.ID) {
		return ErrUnsolicited
	}
	if h.RCode != dnsmessage.RCodeSuccess || h.Truncated {
		return fmt.Errorf("unusable DNS answer: rcode %v, truncated %v", h.RCode, h.Truncated)
	}
	return nil
}

func checkQuestion(p *dnsmessage.Parser) error {
	questions, err := p.AllQuestions()
	if err != nil {
		return err
	}
	if len(questions) != 1 {
		return ErrWrongQuestion
	}
	question := questions[0]
	if !equalNames(question.Name, srvName) || question.Type != dnsmessage.TypeSRV {
		return ErrWrongQuestion
	}
	return nil
}

// readRecords collects the records of the answer, authority and additional sections.
func readRecords(p *dnsmessage.Parser) (*records, error) {
	r := &records{hosts: make(map[string]host)}
	sections := []func() ([]dnsmessage.Resource, error){p.AllAnswers, p.AllAuthorities, p.AllAdditionals}
	for _, readSection := range sections {
		resources, err := readSection()
		if err != nil {
			return nil, err
		}
		for _, resource := range resources {
			if err := r.add(resource); err != nil {
				return nil, err
			}
		}
	}
	return r, nil
}

// equalNames reports whether two DNS names are equal. DNS names are case-insensitive.
func equalNames(a, b dnsmessage.Name) bool { return strings.EqualFold(a.String(), b.String()) }
