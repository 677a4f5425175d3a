package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/samber/oops"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/ctl/exit"
)

// answerView is the printed form of an answer.
type answerView struct {
	Job     int         `json:"job,omitempty"`
	Session string      `json:"session,omitempty"`
	Seq     uint64      `json:"seq"`
	State   string      `json:"state"`
	Code    answer.Code `json:"code,omitempty"`
	Message string      `json:"message,omitempty"`
	Starts  int         `json:"starts"`
	Results [][]byte    `json:"results,omitempty"`
	TraceID string      `json:"trace_id,omitempty"`
}

const (
	stateNoAnswer = "no_answer"
	stateRejected = "rejected"
	stateRunning  = "running"
)

func newAnswerView(rep caller.Reply, err error) answerView {
	v := answerView{Seq: rep.Seq, TraceID: rep.TraceID}
	switch a := rep.Answer.(type) {
	case answer.Complete:
		v.State, v.Starts, v.Results = "complete", a.Starts, a.Results
	case answer.Failed:
		v.State, v.Starts, v.Code, v.Message = "failed", a.Starts, a.Reason.Code, a.Reason.Message
	case answer.NotRun:
		v.State, v.Code, v.Message = "not_run", a.Reason.Code, a.Reason.Message
	case answer.Unknown:
		v.State, v.Starts, v.Code, v.Message = "unknown", a.Starts, a.Reason.Code, a.Reason.Message
	case nil:
		v.State = stateRunning
		if err != nil {
			v.State, v.Message = stateNoAnswer, err.Error()
		}
		var rejected *caller.Rejected
		if errors.As(err, &rejected) {
			v.State = stateRejected
		}
	default:
		panic(a)
	}
	return v
}

func (v answerView) print(w io.Writer) {
	fmt.Fprintf(w, "job %d: %s", v.Seq, v.State)
	if v.Code != "" {
		fmt.Fprintf(w, " (%s: %s)", v.Code, v.Message)
	}
	fmt.Fprintf(w, ", starts %d\n", v.Starts)
	for i, b := range v.Results {
		fmt.Fprintf(w, "  result %d: %q\n", i, b)
	}
	if v.TraceID != "" {
		fmt.Fprintf(w, "  trace %s\n", v.TraceID)
	}
}

// failure returns the error that determines the exit code of the command, or nil
// for a complete or running job.
func (v answerView) failure() error {
	switch v.State {
	case "unknown":
		return oops.Code(exit.Unknown).Hint(unknownHint(v.Code)).Errorf("job %d may have run: %s", v.Seq, v.Code)
	case "failed", "not_run":
		return oops.Code(exit.NotComplete).Hint(notCompleteHint(v.Code)).Errorf("job %d was answered %s: %s", v.Seq, v.State, v.Code)
	}
	return nil
}

func unknownHint(c answer.Code) string {
	switch c {
	case answer.CodeHomeUnreachable:
		return "Collect the answer again later: the session's home instance may be unreachable only for a time. If it has terminated, a repeatable job can be submitted in a new session."
	case answer.CodeHomeReplaced, answer.CodeSessionUnknown:
		return "The session's home instance has terminated. A repeatable job can be submitted in a new session; for a job that must not run twice, ask the service's owner first."
	case answer.CodeAlreadyUsed:
		return "The answer was acknowledged or is no longer kept. The job did not run again."
	}
	return "A repeatable job can be submitted under a new number. For a job that must not run twice, ask the service's owner whether it ran."
}

func notCompleteHint(c answer.Code) string {
	switch c {
	case answer.CodeNeverFits:
		return "Lower memory_mb or accelerators, or have a larger target added; see `marigoldctl targets SERVICE`."
	case answer.CodeNoTarget:
		return "See `marigoldctl targets SERVICE` and `marigoldctl instances` for targets that are gone or leaving."
	case answer.CodeOverloaded, answer.CodeDeadline:
		return "Submit again later or with a longer timeout_ms; GET /v1/status of the entry instance shows the queue."
	case answer.CodeDraining:
		return "The instance was stopping. Submit again in a new session."
	case answer.CodeTaskFailed:
		return "The task itself failed; its message names the cause. The same job is likely to fail again."
	}
	return "The message names the cause. Submitting under a new number is safe where the state is not_run."
}
