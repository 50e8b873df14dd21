package server

import (
	"errors"
	"fmt"
	"time"

	"olivedale/internal/adminapi"
	"olivedale/internal/call"
	"olivedale/internal/codec/h248"
	"olivedale/internal/config"
	"olivedale/internal/enum"
	"olivedale/internal/frontend"
	"olivedale/internal/numbering"
	"olivedale/internal/portability"
	"olivedale/internal/store"
)

const (
	// stateName is the store name of the activation state, which names the active versions. The rules of a version are
	// stored under their digest.
	stateName = "standing"
	// undecidedRetryAfter is the retry-after time sent to callers if the route of a number cannot be determined.
	undecidedRetryAfter = 2 * time.Second
	// defaultAttemptTime is the time reserved for one attempt if the class of the call is unknown.
	defaultAttemptTime = 500 * time.Millisecond
	// answerTime is the time reserved for the answer after the look-up and the attempts.
	answerTime = 10 * frontend.AnswerMargin
)

// A numberRouter routes calls by the active numbering table. Only the event loop accesses versions. Tables are read,
// compiled and saved on other goroutines, one command at a time, and passed to the loop when they are complete. A nil
// *numberRouter is disabled.
type numberRouter struct {
	server   *Server
	file     string
	classes  []numbering.Class
	versions numbering.VersionManager
	store    *store.Store // nil if versions do not survive a restart
	lookup   config.Lookup
	client   *enum.Client // nil if numbers are not looked up
}

var _ call.Router = (*numberRouter)(nil)

// newNumberRouter restores the active version from the store or reads the table from the file. It fails if neither
// provides a valid table: a controller that routes by number must not start without one.
func newNumberRouter(s *Server, o *config.Numbering) (*numberRouter, error) {
	r := &numberRouter{server: s, file: o.File, lookup: o.Lookup}
	for _, c := range s.cfg.Settings.Classes {
		r.classes = append(r.classes, numbering.Class{Name: c.Name, Pools: c.Pools})
	}
	var err error
	if servers := o.Lookup.Servers; len(servers) > 0 {
		r.client, err = enum.Dial(servers, o.Lookup.Suffix, portability.DefaultSettings(len(servers)))
		if err != nil {
			return nil, err
		}
	}
	if o.State != "" {
		if r.store, err = store.Open(o.State); err != nil {
			return nil, err
		}
		if r.restore() {
			r.logActive("restored")
			return r, nil
		}
	}
	if err := r.loadFile(); err != nil {
		return nil, err
	}
	r.logActive("file")
	return r, nil
}

// loadFile reads the table from the file and activates it.
func (r *numberRouter) loadFile() error {
	now := r.server.loop.Now
	table, text, err := numbering.CompileFile(r.file, r.deployment(now()))
	if err != nil {
		return err
	}
	if err := r.saveRules(table, text); err != nil {
		return err
	}
	if err := r.versions.Load(now(), table); err != nil {
		return err
	}
	if err := r.versions.Activate(now(), table.Digest(), "", 0); err != nil {
		return err
	}
	return r.saveState(r.versions.ActivationState())
}

// restore restores the versions from the store and reports whether a valid state was found. Damaged states are logged
// and the last valid one is used.
func (r *numberRouter) restore() bool {
	log := r.server.loop.Log
	latest, err := r.store.Load(stateName)
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	for _, file := range latest.DamagedFiles {
		log.Errorw("numbers_damaged", "file", file)
	}
	if err != nil {
		log.Errorw("numbers_damaged", "err", err, "instead", r.file)
		return false
	}
	states := append([]store.Value{latest}, r.store.History(stateName, latest.Serial)...)
	for _, state := range states {
		err := r.restoreState(state.Data)
		if err == nil {
			return true
		}
		log.Errorw("numbers_damaged", "standing", state.Serial, "err", err, "instead", "the one before")
	}
	return false
}

// restoreState restores the versions that a stored state refers to.
func (r *numberRouter) restoreState(data []byte) error {
	state, err := numbering.DecodeActivationState(data)
	if err != nil {
		return err
	}
	for _, digest := range []string{state.Previous, state.Scheduled, state.Active} {
		if digest == "" {
			continue
		}
		if err := r.loadRules(digest); err != nil {
			r.server.loop.Log.Errorw("numbers_damaged", "digest", digest, "err", err)
		}
	}
	return r.versions.Restore(r.server.loop.Now(), state)
}

// deployment returns the deployment that rules are validated against at the given time.
func (r *numberRouter) deployment(now time.Duration) numbering.Deployment {
	return numbering.Deployment{Classes: r.classes, Now: now}
}

// loadRules loads one version from the store, which was checked for gaps when it was loaded from its file.
func (r *numberRouter) loadRules(digest string) error {
	v, err := r.store.Load(digest)
	if err != nil {
		return err
	}
	deployment := r.deployment(r.server.loop.Now())
	deployment.SkipGapCheck = true
	table, err := numbering.CompileText(v.Data, deployment)
	if err != nil {
		return err
	}
	if table.Digest() != digest {
		return fmt.Errorf("the stored rules have the digest %s", table.Digest())
	}
	return r.versions.Load(r.server.loop.Now(), table)
}

// saveRules stores the rules of a version if they are not stored yet.
func (r *numberRouter) saveRules(table *numbering.Table, text []byte) error {
	if r.store == nil {
		return nil
	}
	if _, err := r.store.Load(table.Digest()); err == nil {
		return nil
	}
	_, err := r.store.Save(table.Digest(), text)
	return err
}

// saveState stores the activation state.
func (r *numberRouter) saveState(state numbering.ActivationState) error {
	if r.store == nil {
		return nil
	}
	_, err := r.store.Save(stateName, state.Encode())
	return err
}

// logActive logs and records the active table.
func (r *numberRouter) logActive(reason string) {
	table := r.versions.Active()
	r.server.loop.Log.Infow("numbers", "digest", table.Digest(), "version", table.Version,
		"entries", table.PrefixCount(), "why", reason)
	r.server.recorder.recordConfigVersion("numbers", table.Digest(), table.Version)
}

// tick activates a scheduled version that is due.
func (r *numberRouter) tick(now time.Duration) {
	if r != nil && r.versions.Tick(now) {
		r.logActive("due")
	}
}

// lookups returns the look-up counters. ok is false if numbers are not looked up.
func (r *numberRouter) lookups() (c portability.Counters, ok bool) {
	if r == nil || r.client == nil {
		return c, false
	}
	return r.client.Counters(), true
}

// audit returns the active table and the look-up counters.
func (r *numberRouter) audit() (nodes []*h248.Node) {
	if r == nil {
		return nil
	}
	table := r.versions.Active()
	nodes = append(nodes, adminapi.TableNode(table.Digest(), table.Version))
	if c, ok := r.lookups(); ok {
		nodes = append(nodes, adminapi.LookupsNode(&c))
	}
	return nodes
}

// logCounters logs the look-up counters.
func (r *numberRouter) logCounters() {
	c, ok := r.lookups()
	if !ok {
		return
	}
	r.server.loop.Log.Infow("counters", "lookups", c.Calls, "hits", c.CacheHits, "coalesced", c.Coalesced,
		"stale", c.StaleCacheHits, "undecided", c.Unanswered, "no_room", c.OverLimit, "sent", c.QueriesSent,
		"answered", c.QueriesAnswered, "timed_out", c.QueriesTimedOut, "refused", c.QueriesFailed,
		"strays", c.UnmatchedAnswers, "lies", c.MismatchedAnswers, "broken", c.BreakerOpenings)
}

// close closes the ENUM client. It must be called after the loop has ended.
func (r *numberRouter) close() {
	if r != nil && r.client != nil {
		r.client.Close()
	}
}
