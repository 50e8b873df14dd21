package discovery

import (
	"fmt"
	"slices"

	"golang.org/x/net/dns/dnsmessage"
)

// ServiceName is the DNS name whose SRV records list the endpoints.
const ServiceName = "_api._tcp.svc.local."

var srvName = dnsmessage.MustNewName(ServiceName)

// maxRecentQueries is the number of latest queries whose answers are accepted. Changes must be known after 7 s, in
// which 47 queries are sent.
const maxRecentQueries = 64

// queryBufferBytes is the initial size of the buffer for a query.
const queryBufferBytes = 64

// A queryLog holds the IDs of the latest queries.
type queryLog struct {
	ids   [maxRecentQueries]uint16 // ring buffer
	count int                      // number of all queries so far
}

func (q *queryLog) add(id uint16) {
	q.ids[q.count%maxRecentQueries] = id
	q.count++
}

func (q *queryLog) contains(id uint16) bool {
	return slices.Contains(q.ids[:min(q.count, maxRecentQueries)], id)
}

// NewQuery returns the next query as a DNS message. The caller must choose a random ID.
func (r *Resolver) NewQuery(id uint16) ([]byte, error) {
	message, err := buildQuery(id)
	if err != nil {
		return nil, fmt.Errorf("discovery: query: %w", err)
	}
	r.queries.add(id)
	return message, nil
}

func buildQuery(id uint16) ([]byte, error) {
	header := dnsmessage.Header{ID: id, RecursionDesired: true}
	b := dnsmessage.NewBuilder(make([]byte, 0, queryBufferBytes), header)
	if err := b.StartQuestions(); err != nil {
		return nil, err
	}
	question := dnsmessage.Question{Name: srvName, Type: dnsmessage.TypeSRV, Class: dnsmessage.ClassINET}
	if err := b.Question(question); err != nil {
		return nil, err
	}
	return b.Finish()
}
