package server

import (
	"errors"

	"olivedale/internal/numbering"
)

// maxStoredVersions bounds the number of table versions in the store.
const maxStoredVersions = 32

// beginCommand starts an operator's command on the numbering table. It must be called on the loop. The disk work runs
// on another goroutine; then done, which may be nil, is called on the loop with the result.
func (r *numberRouter) beginCommand(o numbering.Command, done func(error)) error {
	_, state, err := r.versions.Begin(r.server.loop.Now(), o)
	if err != nil {
		return err
	}
	if o.Op == numbering.OpLoad {
		deployment := r.deployment(r.server.loop.Now())
		go r.loadVersion(o, deployment, done)
	} else {
		go r.changeState(o, *state, done)
	}
	return nil
}

// loadVersion reads a file and loads its table. It runs on its own goroutine.
func (r *numberRouter) loadVersion(o numbering.Command, deployment numbering.Deployment, done func(error)) {
	table, text, err := numbering.CompileFile(o.File, deployment)
	if err == nil {
		err = r.saveRules(table, text)
	}
	r.finishCommand(o, done, func() error {
		r.versions.FinishLoad(r.server.loop.Now(), table, err)
		if reason := r.versions.Job().Error; reason != "" {
			return errors.New(reason)
		}
		return nil
	})
}

// changeState saves an activation state and applies it. It runs on its own goroutine.
func (r *numberRouter) changeState(o numbering.Command, state numbering.ActivationState, done func(error)) {
	err := r.saveState(state)
	if err == nil && r.store != nil {
		r.deleteOldRules(state)
	}
	r.finishCommand(o, done, func() error {
		before := r.versions.Active()
		err := r.versions.Finish(r.server.loop.Now(), err)
		if r.versions.Active() != before {
			r.logActive(o.Op)
		}
		return err
	})
}

// finishCommand completes a command on the loop. It may be called from any goroutine.
func (r *numberRouter) finishCommand(o numbering.Command, done func(error), finish func() error) {
	r.server.loop.ExecuteIteration(func() {
		err := finish()
		if err != nil {
			r.server.loop.Log.Warnw("numbers_refused", "order", o.Op, "err", err)
		}
		if done != nil {
			done(err)
		}
	})
}

// deleteOldRules deletes stored rules that the state does not refer to, until at most maxStoredVersions names are left.
// Some unused rules are kept because they may be loaded.
func (r *numberRouter) deleteOldRules(state numbering.ActivationState) {
	names, err := r.store.Names()
	if err != nil {
		return
	}
	surplus := len(names) - maxStoredVersions
	for _, name := range names {
		if surplus <= 0 {
			return
		}
		isUsed := name == stateName || name == state.Active || name == state.Previous || name == state.Scheduled
		if isUsed {
			continue
		}
		if r.store.Delete(name) != nil {
			return
		}
		surplus--
	}
}

// ReloadNumbering reads the numbering table again, as requested by SIGHUP, and activates it for new calls. It runs a
// load and an activation like the corresponding commands of an operator. An invalid table is logged and changes
// nothing. It may be called from any goroutine once the server has started.
func (s *Server) ReloadNumbering() {
	r := s.numbering
	if r == nil {
		return
	}
	s.loop.ExecuteIteration(func() {
		load := numbering.Command{Op: numbering.OpLoad, File: r.file}
		r.logReloadFailure(r.beginCommand(load, r.activateLoaded))
	})
}

// activateLoaded activates the version that the last command loaded, unless loading failed.
func (r *numberRouter) activateLoaded(loadErr error) {
	if loadErr != nil {
		r.logReloadFailure(loadErr)
		return
	}
	activate := numbering.Command{
		Op:             numbering.OpActivate,
		Digest:         r.versions.Job().Digest,
		ExpectedActive: r.versions.Active().Digest(),
	}
	r.logReloadFailure(r.beginCommand(activate, r.logReloadFailure))
}

func (r *numberRouter) logReloadFailure(err error) {
	if err != nil {
		r.server.loop.Log.Warnw("reload_failed", "err", err)
	}
}
