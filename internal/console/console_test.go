package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"

	"olivedale/internal/adminapi"
	"olivedale/internal/codec/h248"
	"olivedale/internal/record"
)

const kept = "../report/testdata/incident"

// play replays the kept incident to its end.
func play(t *testing.T, speed float64) []*Snapshot {
	t.Helper()
	stores, err := record.Find(kept)
	if err != nil {
		t.Fatal(err)
	}
	src, err := Replay(stores, 0, speed, time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = src.Close() }()
	var all []*Snapshot
	for {
		s, err := src.Next(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if all = append(all, s); s.Over {
			return all
		}
	}
}

// A replay ends with what a count of the records gives, and never goes back.
func TestReplay(t *testing.T) {
	all := play(t, 500)
	if len(all) < 5 {
		t.Errorf("%d looks", len(all))
	}
	want := make(map[string]uint64) // of the last start of each instance
	boot := make(map[string]uint64)
	stores, err := record.Find(kept)
	if err != nil {
		t.Fatal(err)
	}
	m, err := record.OpenStores(stores)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = m.Close() }()
	var r record.Record
	var h record.Header
	for m.Next(&r, &h) == nil {
		if boot[h.Name] != h.Boot {
			boot[h.Name], want[h.Name] = h.Boot, 0
		}
		if r.Kind == record.KindSetUp {
			want[h.Name]++
		}
	}
	last := all[len(all)-1]
	for _, in := range last.Instances {
		if in.Total.Offered != want[in.Name] {
			t.Errorf("%s: %d offered, the records have %d", in.Name, in.Total.Offered, want[in.Name])
		}
	}
	if in := last.Instances[0]; in.Name != "n0" || in.Lost != 87 || in.State != StateEnded || in.Starts != 2 {
		t.Errorf("%+v", in)
	}
	gap := false
	for _, s := range all {
		for _, in := range s.Instances {
			gap = gap || in.Gap
			if in.Gap && !math.IsNaN(in.Rates.Offered) {
				t.Errorf("a rate of %v over a gap", in.Rates.Offered)
			}
		}
	}
	if !gap {
		t.Error("the gap does not show")
	}
	for i := 1; i < len(all); i++ {
		if all[i].At.Before(all[i-1].At) {
			t.Errorf("look %d goes back", i)
		}
	}
	servers := last.Servers()
	if len(servers) != 3 || servers[1].Phase != "drains" || servers[1].Heard != 4 {
		t.Errorf("%+v", servers)
	}
	var obj bytes.Buffer
	if err := last.WriteJSON(&obj); err != nil || !json.Valid(obj.Bytes()) {
		t.Error(err)
	}
	if plain := last.Plain(79); !strings.Contains(plain, "n3") || strings.Contains(plain, "\x1b") {
		t.Error(plain)
	}
}

func press(m Model, keys ...string) Model {
	for _, k := range keys {
		msg := tea.KeyPressMsg{Text: k}
		if len([]rune(k)) == 1 {
			msg.Code = []rune(k)[0]
		}
		switch k {
		case "enter":
			msg = tea.KeyPressMsg{Code: tea.KeyEnter}
		case "esc":
			msg = tea.KeyPressMsg{Code: tea.KeyEscape}
		case "down":
			msg = tea.KeyPressMsg{Code: tea.KeyDown}
		case "end":
			msg = tea.KeyPressMsg{Code: tea.KeyEnd}
		}
		next, _ := m.Update(msg)
		m = next.(Model)
	}
	return m
}

// screen is what a model shows, as plain text; it must fit.
func screen(t *testing.T, m Model) string {
	t.Helper()
	lines := m.lines()
	if len(lines) != m.height {
		t.Errorf("%d lines on a screen of %d", len(lines), m.height)
	}
	for _, l := range lines {
		if w := lipgloss.Width(l); w >= m.width {
			t.Errorf("a line of %d columns on a screen of %d: %q", w, m.width, l)
		}
	}
	return strings.Join(lines, "\n")
}

// From the fleet to the life of a call and back, on every size of screen.
func TestDrill(t *testing.T) {
	all := play(t, 500)
	for _, size := range [][2]int{{80, 24}, {200, 60}, {40, 10}, {20, 6}} {
		m := Model{at: place{sort: -1}, snap: all[len(all)-1]}
		next, _ := m.Update(tea.WindowSizeMsg{Width: size[0], Height: size[1]})
		m = next.(Model)
		for _, keys := range [][]string{{}, {"s", "s", "r"}, {"down", "enter"}, {"enter"}, {"enter"}, {"esc"}, {"esc"}, {"esc"}, {"2"}, {"3"}, {"4", "end"}, {"5"}, {"enter"}, {"?"}, {"x"},
			{"1", "/", "n", "2", "enter"}, {"/", "z", "z", "enter"}} {
			m = press(m, keys...)
			screen(t, m)
		}
	}
	m := Model{at: place{sort: -1}, snap: all[len(all)-1], width: 120, height: 40}
	if got := screen(t, press(m, "down", "enter")); !strings.Contains(got, "instance n1") || !strings.Contains(got, "s-1") {
		t.Error(got)
	}
	if got := screen(t, press(m, "down", "enter", "enter")); !strings.Contains(got, "server s-0 at n1") || !strings.Contains(got, "stood, completed") {
		t.Error(got)
	}
	life := screen(t, press(m, "down", "enter", "enter", "end", "enter"))
	if !strings.Contains(life, "setup") || !strings.Contains(life, "answer") || !strings.Contains(life, "release") {
		t.Error(life)
	}
	if got := screen(t, press(m, "/", "n", "2", "enter")); strings.Contains(got, "n3 ") || !strings.Contains(got, "n2 ") {
		t.Error(got)
	}
	sorted := press(m, "s", "r").table()
	if sorted.names[0] != "n3" {
		t.Errorf("sorted by name, turned: %v", sorted.names)
	}
}

func TestRates(t *testing.T) {
	var r rater
	at := time.Unix(1000, 0)
	look := func(offered uint64, starts int, after time.Duration, gap bool) float64 {
		at = at.Add(after)
		s := &Snapshot{Instances: []Instance{{Name: "n0", Seen: at, Starts: starts, Gap: gap, Total: Counts{Offered: offered, Tries: offered, Stood: offered}}}}
		r.rate(s)
		return s.Instances[0].Rates.Offered
	}
	if v := look(10, 1, 0, false); !math.IsNaN(v) {
		t.Errorf("the first look: %v", v)
	}
	if v := look(30, 1, 2*time.Second, false); v != 10 {
		t.Errorf("20 in 2 s: %v", v)
	}
	if v := look(30, 1, 0, false); v != 10 {
		t.Errorf("no news: %v", v)
	}
	if v := look(5, 2, time.Second, false); !math.IsNaN(v) {
		t.Errorf("over a restart: %v", v)
	}
	if v := look(15, 2, time.Second, true); !math.IsNaN(v) {
		t.Errorf("over a gap: %v", v)
	}
}

// An instance that stops answering is shown as such with the age of what is known; an agent
// that does not answer takes its instances along.
func TestSilence(t *testing.T) {
	serve := func(handle adminapi.Handler) (string, net.Listener) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = adminapi.Serve(ln, "<x>", handle) }()
		return ln.Addr().String(), ln
	}
	stood := 0
	admin, instance := serve(func(*h248.Command) ([]*h248.Node, *h248.Error) {
		stood += 10
		return []*h248.Node{{Name: "Statistics", Kids: []*h248.Node{{Name: "oc/requests", Value: fmt.Sprint(stood)}, {Name: "oc/stood", Value: fmt.Sprint(stood)},
			{Name: "oc/server", Kids: []*h248.Node{{Name: "oc/name", Value: "s-1", Quoted: true}, {Name: "oc/phase", Value: "listed"}, {Name: "oc/ceiling", Value: "2.50"}, {Name: "oc/attempts", Value: "7"}}}}}}, nil
	})
	addr, agent := serve(func(*h248.Command) ([]*h248.Node, *h248.Error) {
		return []*h248.Node{{Name: "Statistics", Kids: []*h248.Node{{Name: "oa/instance", Kids: []*h248.Node{{Name: "name", Value: "n0", Quoted: true}, {Name: "state", Value: "running"},
			{Name: "starts", Value: "1"}, {Name: "admin", Value: admin, Quoted: true}}}}}}, nil
	})
	src := Ask([]string{addr}, 50*time.Millisecond)
	next := func() *Snapshot {
		s, err := src.Next(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	next()
	s := next()
	if in := s.Instances[0]; in.State != StateRunning || in.Total.Stood != 20 || !(in.Rates.Stood > 0) || in.Servers[0].Ceiling != 2.5 {
		t.Errorf("%+v", in)
	}
	_ = instance.Close()
	s = next()
	if in := s.Instances[0]; in.State != StateSilent || in.Problem == "" || in.Total.Stood != 20 || s.At.Sub(in.Seen) <= 0 || len(s.Events) == 0 {
		t.Errorf("%+v", in)
	}
	_ = agent.Close()
	s = next()
	if in := s.Instances[0]; in.Name != "n0" || in.State != StateSilent || !strings.Contains(in.Problem, "agent") {
		t.Errorf("%+v", in)
	}
	m := Model{at: place{sort: -1}, snap: s, width: 80, height: 24}
	if got := screen(t, m); !strings.Contains(got, "1 silent") {
		t.Error(got)
	}
	if got := screen(t, press(m, "enter")); !strings.Contains(got, "does not answer") {
		t.Error(got)
	}
}

// broken is a source that crashes.
type broken struct{ shown func() bool }

func (b *broken) Close() error { return nil }
func (b *broken) Next(context.Context) (*Snapshot, error) {
	if b.shown() {
		panic("a crash")
	}
	time.Sleep(time.Millisecond)
	return &Snapshot{At: time.Unix(0, 0)}, nil
}

// screenBuffer is what a terminal was sent.
type screenBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *screenBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *screenBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// After a crash the terminal is as it was: the other screen is left, the cursor is there.
func TestCrashLeavesTheTerminalClean(t *testing.T) {
	var out screenBuffer
	src := &broken{func() bool { return strings.Contains(out.String(), "\x1b[?1049h") }}
	_, err := tea.NewProgram(NewModel(context.Background(), src), tea.WithOutput(&out), tea.WithInput(nil), tea.WithWindowSize(80, 24), tea.WithEnvironment([]string{"TERM=xterm"})).Run()
	if !errors.Is(err, tea.ErrProgramPanic) {
		t.Errorf("%v", err)
	}
	text := out.String()
	if in, left := strings.LastIndex(text, "\x1b[?1049h"), strings.LastIndex(text, "\x1b[?1049l"); in < 0 || left < in {
		t.Error("the other screen was not left")
	}
	if off, on := strings.LastIndex(text, "\x1b[?25l"), strings.LastIndex(text, "\x1b[?25h"); off > on {
		t.Error("the cursor stays hidden")
	}
}

// An instance whose table of numbers is another than most have is marked, and counted in the first
// line; without any table there is no such column.
func TestStragglers(t *testing.T) {
	snap := &Snapshot{At: time.Unix(1000, 0), Instances: []Instance{
		{Name: "a", State: StateRunning, Numbers: "1111111111111111", Seen: time.Unix(1000, 0)},
		{Name: "b", State: StateRunning, Numbers: "2222222222222222", Seen: time.Unix(1000, 0)},
		{Name: "c", State: StateRunning, Numbers: "2222222222222222", Seen: time.Unix(1000, 0)},
		{Name: "d", State: StateEnded, Seen: time.Unix(1000, 0)}}}
	var marked []string
	for i, row := range snap.fleet().rows {
		if row[3].bad {
			marked = append(marked, snap.Instances[i].Name)
		}
	}
	if snap.Numbers() != "2222222222222222" || !slices.Equal(marked, []string{"a"}) {
		t.Errorf("most have %q, marked are %v", snap.Numbers(), marked)
	}
	m := Model{snap: snap, width: 120}
	if line := m.summary(); !strings.Contains(line, "(1 not on table 22222222)") {
		t.Errorf("%q", line)
	}
	if plain := snap.Plain(120); !strings.Contains(plain, "NUMBERS") || !strings.Contains(plain, "11111111") {
		t.Error(plain)
	}
	for i := range snap.Instances {
		snap.Instances[i].Numbers = ""
	}
	if plain := snap.Plain(120); strings.Contains(plain, "NUMBERS") {
		t.Error(plain)
	}
}
