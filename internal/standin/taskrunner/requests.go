package taskrunner

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"daisyhead/internal/platform/runner"
	"daisyhead/internal/standin/observer"
)

// ThrottleRequest sets the speed of the tasks of an attempt.
type ThrottleRequest struct {
	Term    uint64
	Job     string
	Attempt int
	// Percent is the percentage of full speed, from 1 to 100.
	Percent int
}

// exchange applies the request and replies once the table is newer than the
// version that the sender has seen, or when the wait is over. It replies at once
// if the sender names another boot.
func (r *Runner) exchange(req *http.Request, q runner.ExchangeRequest) runner.ExchangeReply {
	r.applyExchange(q)
	timeout := time.NewTimer(min(time.Duration(q.WaitMS)*time.Millisecond, maxPollWait))
	defer timeout.Stop()
	for {
		reply, changed := r.table(q)
		if q.WaitMS <= 0 || reply.Version > q.Since || reply.Boot != q.Boot {
			return reply
		}
		select {
		case <-changed:
		case <-timeout.C:
			q.WaitMS = 0
		case <-req.Context().Done():
			return reply
		}
	}
}

// applyExchange adopts the term, renews leases and removes entries. It ignores
// requests of older terms, and all but the term if the sender names another boot.
func (r *Runner) applyExchange(q runner.ExchangeRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Term < r.term {
		return
	}
	r.term = q.Term
	if q.Boot != r.boot {
		return
	}
	if q.RenewAll > 0 && q.Since == r.version {
		r.renewAll(q)
	}
	for _, l := range q.Leases {
		e, ok := r.entries[runner.Reference{Job: l.Job, Attempt: l.Attempt}]
		if ok && e.State == runner.TaskRunning && l.Until > e.leaseUntil {
			e.leaseUntil = l.Until
		}
	}
	for _, ref := range q.Forget {
		if e, ok := r.entries[ref]; ok && e.State.Final() {
			delete(r.entries, ref)
		}
	}
}

// renewAll extends the leases of all running tasks except those of the attempts in
// Except.
func (r *Runner) renewAll(q runner.ExchangeRequest) {
	for ref, e := range r.entries {
		if e.State == runner.TaskRunning && q.RenewAll > e.leaseUntil && !slices.Contains(q.Except, ref) {
			e.leaseUntil = q.RenewAll
		}
	}
}

// table returns the table, without its entries if the sender has seen its version,
// and a channel that is closed by its next change.
func (r *Runner) table(q runner.ExchangeRequest) (runner.ExchangeReply, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := runner.ExchangeReply{Boot: r.boot, ClockMS: r.clockMS(), Version: r.version, Term: r.term}
	if q.Boot == r.boot && q.Since == r.version {
		reply.Unchanged = true
		return reply, r.changed
	}
	for _, e := range r.entries {
		reply.Tasks = append(reply.Tasks, r.status(e))
	}
	return reply, r.changed
}

// status returns the reported state of an entry. For tasks that haven't ended, it
// adds the run time and the memory usage.
func (r *Runner) status(e *entry) runner.Status {
	s := e.Status
	s.ObservedAgoMS = r.cfg.UsageLag.Milliseconds()
	if !s.State.Final() {
		s.RanMS = e.ranMS()
		s.MemoryMB = parsePayload(e.request.Payload).memoryMB
	}
	return s
}

// refusalReason checks the term, the boot and the deadline of a message and adopts
// a newer term. It returns why the message must be refused, or "".
func (r *Runner) refusalReason(term uint64, boot string, notAfter int64) string {
	if term < r.term {
		return fmt.Sprintf("term %d is older than %d", term, r.term)
	}
	r.term = term
	if boot != r.boot {
		return "the worker was restarted"
	}
	if r.clockMS() > notAfter {
		return "the message arrived too late"
	}
	return ""
}

func (r *Runner) reply(ok bool, reason string, e *entry) runner.Reply {
	reply := runner.Reply{OK: ok, Reason: reason, Boot: r.boot, ClockMS: r.clockMS(), Version: r.version, Term: r.term}
	if e != nil {
		reply.Status = r.status(e)
	}
	return reply
}

// reserve reserves resources for the tasks of an attempt until HoldUntil. It refuses
// an attempt that is in the table already, unless it is still reserved.
func (r *Runner) reserve(_ *http.Request, q runner.ReserveRequest) runner.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason := r.refusalReason(q.Term, q.Boot, q.NotAfter); reason != "" {
		return r.reply(false, reason, nil)
	}
	ref := runner.Reference{Job: q.Job, Attempt: q.Attempt}
	if e, ok := r.entries[ref]; ok {
		return r.reply(e.State == runner.TaskReserved, "the attempt is known here as "+string(e.State), e)
	}
	if !r.hasCapacity(q) {
		return r.reply(false, "the worker has no room", nil)
	}
	e := &entry{request: q, holdUntil: q.HoldUntil, speed: 100}
	e.Status = runner.Status{Job: q.Job, Attempt: q.Attempt, Tasks: q.Tasks, State: runner.TaskReserved, ProgressMS: q.ProgressMS}
	r.entries[ref] = e
	r.afterFunc(e, time.Duration(q.HoldUntil-r.clockMS())*time.Millisecond, func() {
		if e.State == runner.TaskReserved {
			r.end(e, runner.TaskExpired, observer.KindExpired, "the reservation ran out")
		}
	})
	r.bumpVersion()
	return r.reply(true, "", e)
}

// hasCapacity reports whether the resources that are not reserved or in use
// suffice for the request.
func (r *Runner) hasCapacity(q runner.ReserveRequest) bool {
	processors, memory, accelerators := q.Tasks*q.Processors, q.Tasks*q.MemoryMB, q.Tasks*q.Accelerators
	for _, e := range r.entries {
		if e.State.Final() {
			continue
		}
		processors += e.request.Tasks * e.request.Processors
		memory += e.request.Tasks * e.request.MemoryMB
		accelerators += e.request.Tasks * e.request.Accelerators
	}
	return processors <= r.cfg.Processors && memory <= r.cfg.MemoryMB && accelerators <= r.cfg.Accelerators
}

// afterFunc calls f with the lock held after the given time, unless the timers of
// the entry are stopped before.
func (r *Runner) afterFunc(e *entry, d time.Duration, f func()) {
	e.timers = append(e.timers, time.AfterFunc(max(d, 0), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}))
}

// startTasks starts the tasks of a reserved attempt. It accepts a repeated start
// while the tasks run, without starting them again.
func (r *Runner) startTasks(_ *http.Request, q runner.StartRequest) runner.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[runner.Reference{Job: q.Job, Attempt: q.Attempt}]
	if reason := r.refusalReason(q.Term, q.Boot, q.NotAfter); reason != "" {
		return r.reply(false, reason, e)
	}
	if e == nil {
		return r.reply(false, "nothing is reserved for the attempt", nil)
	}
	if e.State != runner.TaskReserved {
		return r.reply(e.State == runner.TaskRunning, "the attempt is "+string(e.State), e)
	}
	e.stopTimers()
	e.State, e.Started, e.startedAt, e.leaseUntil = runner.TaskRunning, true, time.Now(), q.LeaseUntil
	r.recordEvent(e, observer.KindStarted)
	r.scheduleLeaseExpiry(e)
	r.scheduleCompletion(e)
	r.bumpVersion()
	return r.reply(true, "", e)
}

// scheduleLeaseExpiry ends the tasks when their lease expires. If the lease was
// renewed in the meantime, it schedules the next check.
func (r *Runner) scheduleLeaseExpiry(e *entry) {
	r.afterFunc(e, time.Duration(e.leaseUntil-r.clockMS())*time.Millisecond, func() {
		if e.State != runner.TaskRunning {
			return
		}
		if r.clockMS() < e.leaseUntil {
			r.scheduleLeaseExpiry(e)
			return
		}
		r.end(e, runner.TaskExpired, observer.KindExpired, "the lease ran out")
	})
}

// scheduleCompletion ends the tasks after their remaining run time, or early if
// they are to fail or to crash the worker.
func (r *Runner) scheduleCompletion(e *entry) {
	p := parsePayload(e.request.Payload)
	if p.crash > 0 {
		r.afterFunc(e, p.crash, func() { r.crash(p.down) })
		return
	}
	if r.faults.FailAll || p.fail {
		r.afterFunc(e, min(p.run, 100*time.Millisecond), func() {
			if e.State == runner.TaskRunning {
				r.end(e, runner.TaskFailed, observer.KindFailed, "exit status 1")
			}
		})
		return
	}
	remaining := p.run - time.Duration(e.ProgressMS)*time.Millisecond
	r.afterFunc(e, max(remaining, 0)*100/time.Duration(e.speed), func() {
		if e.State == runner.TaskRunning {
			r.end(e, runner.TaskFinished, observer.KindFinished, "")
		}
	})
}

// crash reboots the machine, which answers no request until it has booted.
func (r *Runner) crash(boot time.Duration) {
	r.reboot()
	r.down = true
	time.AfterFunc(boot, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.down = false
	})
}

// stopTasks stops the tasks of an attempt or releases their reservation. Unlike a
// start, a stop has no deadline and is valid for every boot of the worker.
func (r *Runner) stopTasks(_ *http.Request, q runner.StopRequest) runner.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Term < r.term {
		return r.reply(false, "an older term", nil)
	}
	r.term = q.Term
	ref := runner.Reference{Job: q.Job, Attempt: q.Attempt}
	e, ok := r.entries[ref]
	if !ok {
		// Keep an entry for the attempt, so that a reservation that is still in
		// transit is refused when it arrives.
		e = &entry{speed: 100, Status: runner.Status{Job: q.Job, Attempt: q.Attempt, State: runner.TaskStopped, Reason: "never reserved"}}
		r.entries[ref] = e
		r.bumpVersion()
		return r.reply(true, "", e)
	}
	if e.State.Final() {
		return r.reply(true, "", e)
	}
	if q.Checkpoint && e.State == runner.TaskRunning && r.cfg.CheckpointTime > 0 {
		r.afterFunc(e, r.cfg.CheckpointTime, func() { r.stopNow(e, true) })
		return r.reply(true, "", e)
	}
	r.stopNow(e, q.Checkpoint)
	return r.reply(true, "", e)
}

// stopNow stops the tasks or releases their reservation. With checkpoint, the
// progress of running tasks is saved.
func (r *Runner) stopNow(e *entry, checkpoint bool) {
	if e.State.Final() {
		return
	}
	if checkpoint && e.State == runner.TaskRunning {
		e.ProgressMS += e.ranMS()
		e.Checkpointed = true
	}
	r.end(e, runner.TaskStopped, observer.KindStopped, "stopped as asked")
}

// throttle continues running tasks at the given speed, after adding what they have
// run to their progress.
func (r *Runner) throttle(_ *http.Request, q ThrottleRequest) runner.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[runner.Reference{Job: q.Job, Attempt: q.Attempt}]
	if q.Term < r.term || e == nil || e.State != runner.TaskRunning || q.Percent < 1 || q.Percent > 100 {
		return r.reply(false, "no such running tasks, an older term or a wrong percentage", e)
	}
	e.ProgressMS += e.ranMS()
	e.startedAt, e.speed = time.Now(), q.Percent
	e.stopTimers()
	r.scheduleLeaseExpiry(e)
	r.scheduleCompletion(e)
	r.bumpVersion()
	return r.reply(true, "", e)
}
