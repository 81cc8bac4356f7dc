package tierrules

import (
	"bytes"
	"net/http"
	"slices"
)

// judgeAnswers checks MIXED: each answer is the complete answer of a single receiver and belongs to its request.
func (j *judge) judgeAnswers() {
	for _, r := range j.Requests {
		j.countCheck(Mixed)
		if r.StrayBytes {
			j.addBreach(Mixed, r.Ended, r, "bytes came that are no answer to it")
		}
		if r.Answer == nil {
			continue
		}
		if r.Answer.RequestID != "" && r.Answer.RequestID != r.ID {
			j.addBreach(Mixed, r.Ended, r, "the answer is that of request %s", r.Answer.RequestID)
			continue
		}
		if r.Answer.Status/100 == 2 {
			j.judgeSuccess(r)
		} else if r.Answer.Stamp != "" {
			j.judgeFailure(r)
		}
	}
}

// judgeSuccess checks a 2xx answer. The events of a stream are checked by ORDER.
func (j *judge) judgeSuccess(r *Request) {
	if r.Answer.Stamp == "" {
		j.addBreach(Mixed, r.Ended, r, "a success without a receiver's stamp")
		return
	}
	run := j.runOfAnswer(r)
	switch {
	case run == nil:
		j.addBreach(Mixed, r.Ended, r, "a success with stamp %q, which no receiver gave to it", r.Answer.Stamp)
	case run.Status/100 != 2:
		j.addBreach(Mixed, r.Ended, r, "a success where the receiver had answered %d", run.Status)
	case r.Kind != Streaming && r.Answer.Complete && !bytes.Equal(run.Answer, r.Answer.Body):
		j.addBreach(Mixed, r.Ended, r, "%d bytes that are not the receiver's %d", len(r.Answer.Body), len(run.Answer))
	case r.Kind != Streaming && r.Answer.Complete && !run.Complete:
		j.addBreach(Mixed, r.Ended, r, "an answer that the receiver broke off looks complete")
	}
}

// judgeFailure checks an answer other than 2xx that has a receiver's stamp.
func (j *judge) judgeFailure(r *Request) {
	for _, run := range j.runs[r.ID] {
		if run.Stamp == r.Answer.Stamp {
			if run.Status != r.Answer.Status {
				j.addBreach(Mixed, r.Ended, r, "status %d with the stamp of a receiver that answered %d", r.Answer.Status, run.Status)
			}
			return
		}
	}
}

// runOfAnswer returns the run whose stamp the answer has, nil if there is none.
func (j *judge) runOfAnswer(r *Request) *Run {
	for _, run := range j.runs[r.ID] {
		if run.Stamp == r.Answer.Stamp {
			return run
		}
	}
	return nil
}

// judgeStreams checks ORDER.
func (j *judge) judgeStreams() {
	for _, r := range j.Requests {
		if r.Kind != Streaming || r.Answer == nil || r.Answer.Status != http.StatusOK {
			continue
		}
		j.countCheck(Order)
		j.judgeStream(r)
	}
}

// judgeStream checks that each event is the next one of the run that wrote the previous event or, if the route is
// resumable, of another run that resumed there.
func (j *judge) judgeStream(r *Request) {
	next := r.LastEventID + 1
	var current *Run
	for _, e := range r.Answer.Events {
		if e.ID != next {
			j.addBreach(Order, e.At, r, "event %d where %d is due", e.ID, next)
			return
		}
		next++
		if current != nil && wrote(current, e) {
			continue
		}
		run := j.runThatWrote(r, e)
		if run == nil {
			j.addBreach(Order, e.At, r, "event %d is that of no run of it", e.ID)
			return
		}
		if current != nil && (!r.Resumable || run.ResumedAfter != e.ID-1) {
			j.addBreach(Order, e.At, r, "event %d joins the pieces of two runs, at %s and %s", e.ID, current.Instance, run.Instance)
			return
		}
		current = run
	}
	if !r.Answer.Complete {
		return
	}
	if current == nil {
		current = j.runOfAnswer(r)
	}
	if current != nil && next <= current.FinalEventID {
		j.addBreach(Order, r.Ended, r, "it ends as complete before event %d of %d", next, current.FinalEventID)
	}
}

func wrote(run *Run, e Event) bool {
	return slices.ContainsFunc(run.Events, func(o Event) bool { return o.ID == e.ID && o.Data == e.Data })
}

func (j *judge) runThatWrote(r *Request, e Event) *Run {
	for _, run := range j.runs[r.ID] {
		if wrote(run, e) {
			return run
		}
	}
	return nil
}
