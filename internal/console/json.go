package console

import (
	"encoding/json"
	"io"
	"math"
	"time"
)

// The types of this file define the JSON form of a snapshot. Their keys are an interface to operators' scripts and keep
// the older terms; docs/glossary.md maps them to the terms used in the code.

// jsonNumber is a number that is null in JSON if it is unknown (NaN) or unlimited (Inf).
type jsonNumber float64

// MarshalJSON implements json.Marshaler.
func (n jsonNumber) MarshalJSON() ([]byte, error) {
	v := float64(n)
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return []byte("null"), nil
	}
	return json.Marshal(v)
}

// jsonDocument is the whole snapshot.
type jsonDocument struct {
	At           time.Time      `json:"at"`
	Source       string         `json:"source"`
	Total        Counts         `json:"total"`
	Rates        jsonRates      `json:"a_second"`
	WithoutRates int            `json:"instances_without_rates"`
	Instances    []jsonInstance `json:"instances"`
	Servers      []jsonServer   `json:"servers"`
	Classes      []jsonClass    `json:"classes"`
	Events       []jsonEvent    `json:"events"`
}

// jsonRates are rates per second.
type jsonRates struct {
	Offered     jsonNumber `json:"offered"`
	Established jsonNumber `json:"stood"`
	Rejected    jsonNumber `json:"refused"`
	Failed      jsonNumber `json:"failed"`
	Dropped     jsonNumber `json:"cut"`
	Attempts    jsonNumber `json:"attempts"`
}

// jsonClass is a class of one instance or of the fleet.
type jsonClass struct {
	Name string `json:"name"`
	Counts
	Rates jsonRates `json:"a_second"`
}

// jsonServer is a server as one instance or the fleet knows it.
type jsonServer struct {
	Name        string     `json:"name"`
	Pool        int        `json:"pool"`
	Phase       Phase      `json:"phase"`
	InSlowStart bool       `json:"cold"`
	RateLimit   jsonNumber `json:"ceiling"`
	LimitedBy   int        `json:"pressed_by,omitempty"`
	Attempts    uint64     `json:"attempts"`
	Established uint64     `json:"stood"`
	Dropped     uint64     `json:"cut"`
	AttemptRate jsonNumber `json:"attempts_a_second"`
}

// jsonInstance is one instance with its classes and servers.
type jsonInstance struct {
	Name             string    `json:"name"`
	Agent            string    `json:"agent,omitempty"`
	State            State     `json:"state"`
	Problem          string    `json:"problem,omitempty"`
	Starts           int       `json:"starts"`
	Seen             time.Time `json:"seen"`
	AgeSeconds       float64   `json:"age_s"`
	OpenCalls        int       `json:"open"`
	EstablishedCalls int       `json:"standing"`
	LostRecords      uint64    `json:"records_lost"`
	HasGap           bool      `json:"gap,omitempty"`
	NumberingDigest  string    `json:"numbers,omitempty"`
	Counts
	Rates   jsonRates    `json:"a_second"`
	Classes []jsonClass  `json:"classes"`
	Servers []jsonServer `json:"servers"`
}

// jsonEvent is one event.
type jsonEvent struct {
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`
	Server   string    `json:"server,omitempty"`
	Kind     EventKind `json:"kind"`
	Text     string    `json:"text,omitempty"`
	IsFault  bool      `json:"bad"`
}

// WriteJSON writes the snapshot as one JSON object. Unknown rates and rate limits that are not set are null. It fails
// only if w does.
func (s *Snapshot) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(s.jsonDocument())
}

func (s *Snapshot) jsonDocument() *jsonDocument {
	totals := s.Totals()
	return &jsonDocument{
		At:           s.At,
		Source:       s.Source,
		Total:        totals.Counts,
		Rates:        newJSONRates(totals.Rates),
		WithoutRates: totals.WithoutRates,
		Instances:    newJSONInstances(s.Instances, s.At),
		Servers:      newJSONServers(s.Servers()),
		Classes:      newJSONClasses(s.Classes()),
		Events:       newJSONEvents(s.Events),
	}
}

func newJSONRates(r Rates) jsonRates {
	return jsonRates{
		Offered:     jsonNumber(r.Offered),
		Established: jsonNumber(r.Established),
		Rejected:    jsonNumber(r.Rejected),
		Failed:      jsonNumber(r.Failed),
		Dropped:     jsonNumber(r.Dropped),
		Attempts:    jsonNumber(r.Attempts),
	}
}

func newJSONClasses(classes []Class) []jsonClass {
	all := []jsonClass{} // JSON shows an empty list, not null
	for _, c := range classes {
		all = append(all, jsonClass{Name: c.Name, Counts: c.Counts, Rates: newJSONRates(c.Rates)})
	}
	return all
}

func newJSONServers(servers []Server) []jsonServer {
	all := []jsonServer{}
	for _, s := range servers {
		all = append(all, jsonServer{
			Name:        s.Name,
			Pool:        s.Pool,
			Phase:       s.Phase,
			InSlowStart: s.InSlowStart,
			RateLimit:   jsonNumber(s.RateLimit),
			LimitedBy:   s.LimitedBy,
			Attempts:    s.Attempts,
			Established: s.Established,
			Dropped:     s.Dropped,
			AttemptRate: jsonNumber(s.AttemptRate),
		})
	}
	return all
}

func newJSONInstances(instances []Instance, now time.Time) []jsonInstance {
	all := []jsonInstance{}
	for _, i := range instances {
		all = append(all, jsonInstance{
			Name:             i.Name,
			Agent:            i.Agent,
			State:            i.State,
			Problem:          i.Problem,
			Starts:           i.Starts,
			Seen:             i.Seen,
			AgeSeconds:       max(now.Sub(i.Seen).Seconds(), 0),
			OpenCalls:        i.OpenCalls,
			EstablishedCalls: i.EstablishedCalls,
			LostRecords:      i.LostRecords,
			HasGap:           i.HasGap,
			NumberingDigest:  i.NumberingDigest,
			Counts:           i.Total,
			Rates:            newJSONRates(i.Rates),
			Classes:          newJSONClasses(i.Classes),
			Servers:          newJSONServers(i.Servers),
		})
	}
	return all
}

func newJSONEvents(events []Event) []jsonEvent {
	all := []jsonEvent{}
	for _, e := range events {
		all = append(all, jsonEvent(e))
	}
	return all
}
