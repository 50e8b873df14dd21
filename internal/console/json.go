package console

import (
	"encoding/json"
	"io"
	"math"
	"time"
)

// figure is a number that JSON has no word for where it is not known or endless.
type figure float64

// MarshalJSON implements json.Marshaler.
func (f figure) MarshalJSON() ([]byte, error) {
	if v := float64(f); math.IsNaN(v) || math.IsInf(v, 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(f))
}

// WriteJSON writes a snapshot as one JSON object. Rates that are not known and ceilings that
// are not set are null.
func (s *Snapshot) WriteJSON(w io.Writer) error {
	type rates struct {
		Offered figure `json:"offered"`
		Stood   figure `json:"stood"`
		Refused figure `json:"refused"`
		Failed  figure `json:"failed"`
		Cut     figure `json:"cut"`
		Tries   figure `json:"attempts"`
	}
	of := func(r Rates) rates {
		return rates{figure(r.Offered), figure(r.Stood), figure(r.Refused), figure(r.Failed), figure(r.Cut), figure(r.Tries)}
	}
	type class struct {
		Name string `json:"name"`
		Counts
		Rates rates `json:"a_second"`
	}
	type server struct {
		Name    string `json:"name"`
		Pool    int    `json:"pool"`
		Phase   string `json:"phase"`
		Cold    bool   `json:"cold"`
		Ceiling figure `json:"ceiling"`
		Pressed int    `json:"pressed_by,omitempty"`
		Tries   uint64 `json:"attempts"`
		Stood   uint64 `json:"stood"`
		Cut     uint64 `json:"cut"`
		Rate    figure `json:"attempts_a_second"`
	}
	type instance struct {
		Name     string    `json:"name"`
		Agent    string    `json:"agent,omitempty"`
		State    string    `json:"state"`
		Problem  string    `json:"problem,omitempty"`
		Starts   int       `json:"starts"`
		Seen     time.Time `json:"seen"`
		Age      float64   `json:"age_s"`
		Open     int       `json:"open"`
		Standing int       `json:"standing"`
		Lost     uint64    `json:"records_lost"`
		Gap      bool      `json:"gap,omitempty"`
		Numbers  string    `json:"numbers,omitempty"`
		Counts
		Rates   rates    `json:"a_second"`
		Classes []class  `json:"classes"`
		Servers []server `json:"servers"`
	}
	type event struct {
		At       time.Time `json:"at"`
		Instance string    `json:"instance"`
		Server   string    `json:"server,omitempty"`
		Kind     string    `json:"kind"`
		Text     string    `json:"text,omitempty"`
		Bad      bool      `json:"bad"`
	}
	classes := func(all []Class) []class {
		out := []class{}
		for _, c := range all {
			out = append(out, class{c.Name, c.Counts, of(c.Rates)})
		}
		return out
	}
	servers := func(all []Server) []server {
		out := []server{}
		for _, x := range all {
			out = append(out, server{x.Name, x.Pool, x.Phase, x.Cold, figure(x.Ceiling), x.Pressed, x.Tries, x.Stood, x.Cut, figure(x.Rate)})
		}
		return out
	}
	total, all, left := s.Totals()
	out := struct {
		At        time.Time  `json:"at"`
		Source    string     `json:"source"`
		Total     Counts     `json:"total"`
		Rates     rates      `json:"a_second"`
		NotRated  int        `json:"instances_without_rates"`
		Instances []instance `json:"instances"`
		Servers   []server   `json:"servers"`
		Classes   []class    `json:"classes"`
		Events    []event    `json:"events"`
	}{At: s.At, Source: s.Source, Total: total, Rates: of(all), NotRated: left, Instances: []instance{}, Servers: servers(s.Servers()), Classes: classes(s.Classes()), Events: []event{}}
	for _, in := range s.Instances {
		out.Instances = append(out.Instances, instance{in.Name, in.Agent, in.State, in.Problem, in.Starts, in.Seen, max(s.At.Sub(in.Seen).Seconds(), 0), in.Open, in.Standing,
			in.Lost, in.Gap, in.Numbers, in.Total, of(in.Rates), classes(in.Classes), servers(in.Servers)})
	}
	for _, e := range s.Events {
		out.Events = append(out.Events, event(e))
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(out)
}
