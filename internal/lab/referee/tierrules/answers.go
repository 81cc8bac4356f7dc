package tierrules

import (
	"bytes"
	"net/http"
	"slices"
)

// answers judges MIXED: each answer is one receiver's, whole, and that of its request.
func (j *judge) answers() {
	for _, r := range j.Requests {
		j.checked(Mixed)
		if r.StrayBytes {
			j.breach(Mixed, r.Ended, r, "bytes came that are no answer to it")
		}
		if r.Answer == nil {
			continue
		}
		if r.Answer.RequestID != "" && r.Answer.RequestID != r.ID {
			j.breach(Mixed, r.Ended, r, "the answer is that of request %s", r.Answer.RequestID)
			continue
		}
		if r.Answer.Status/100 == 2 {
			j.successful(r)
		} else if r.Answer.Stamp != "" {
			j.failed(r)
		}
	}
}

// successful judges an answer of success; a stream's pieces are judged by ORDER.
func (j *judge) successful(r *Request) {
	if r.Answer.Stamp == "" {
		j.breach(Mixed, r.Ended, r, "a success without a receiver's stamp")
		return
	}
	run := j.stamped(r)
	switch {
	case run == nil:
		j.breach(Mixed, r.Ended, r, "a success with stamp %q, which no receiver gave to it", r.Answer.Stamp)
	case run.Status/100 != 2:
		j.breach(Mixed, r.Ended, r, "a success where the receiver had answered %d", run.Status)
	case r.Kind != Streaming && r.Answer.Complete && !bytes.Equal(run.Answer, r.Answer.Body):
		j.breach(Mixed, r.Ended, r, "%d bytes that are not the receiver's %d", len(r.Answer.Body), len(run.Answer))
	case r.Kind != Streaming && r.Answer.Complete && !run.Complete:
		j.breach(Mixed, r.Ended, r, "an answer that the receiver broke off looks complete")
	}
}

// failed judges a failure that bears a receiver's stamp.
func (j *judge) failed(r *Request) {
	for _, run := range j.runs[r.ID] {
		if run.Stamp == r.Answer.Stamp {
			if run.Status != r.Answer.Status {
				j.breach(Mixed, r.Ended, r, "status %d with the stamp of a receiver that answered %d", r.Answer.Status, run.Status)
			}
			return
		}
	}
}

// stamped is the run whose stamp the answer bears.
func (j *judge) stamped(r *Request) *Run {
	for _, run := range j.runs[r.ID] {
		if run.Stamp == r.Answer.Stamp {
			return run
		}
	}
	return nil
}

// streams judges ORDER.
func (j *judge) streams() {
	for _, r := range j.Requests {
		if r.Kind != Streaming || r.Answer == nil || r.Answer.Status != http.StatusOK {
			continue
		}
		j.checked(Order)
		j.stream(r)
	}
}

// stream follows the pieces: each is the next one of the run that gave the one before, or of another run that went on
// there, where the kind may be resumed.
func (j *judge) stream(r *Request) {
	next := r.LastEventID + 1
	var current *Run
	for _, e := range r.Answer.Events {
		if e.ID != next {
			j.breach(Order, e.At, r, "event %d where %d is due", e.ID, next)
			return
		}
		next++
		if current != nil && gave(current, e) {
			continue
		}
		run := j.giver(r, e)
		if run == nil {
			j.breach(Order, e.At, r, "event %d is that of no run of it", e.ID)
			return
		}
		if current != nil && (!r.Resumable || run.ResumedAfter != e.ID-1) {
			j.breach(Order, e.At, r, "event %d joins the pieces of two runs, at %s and %s", e.ID, current.Instance, run.Instance)
			return
		}
		current = run
	}
	if !r.Answer.Complete {
		return
	}
	if current == nil {
		current = j.stamped(r)
	}
	if current != nil && next <= current.FinalEventID {
		j.breach(Order, r.Ended, r, "it ends as complete before event %d of %d", next, current.FinalEventID)
	}
}

func gave(run *Run, e Event) bool {
	return slices.ContainsFunc(run.Events, func(o Event) bool { return o.ID == e.ID && o.Data == e.Data })
}

func (j *judge) giver(r *Request, e Event) *Run {
	for _, run := range j.runs[r.ID] {
		if gave(run, e) {
			return run
		}
	}
	return nil
}
